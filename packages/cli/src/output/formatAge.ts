/** Ages of at least this many seconds are shown in minutes. */
const MINUTES_THRESHOLD_S = 120

/**
 * Formats an age for display.
 * @param ageMs - Age in milliseconds, negative if unknown.
 */
export function formatAge (ageMs: number): string {
  if (ageMs < 0) return 'never'
  const seconds = ageMs / 1000
  return seconds < MINUTES_THRESHOLD_S ? `${seconds.toFixed(1)} s` : `${Math.round(seconds / 60)} min`
}
