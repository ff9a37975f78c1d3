/** Seconds from which on an age is shown in minutes. */
const MINUTES_FROM_S = 120

/**
 * Formats an age for people.
 * @param ageMs - Age in milliseconds; negative when it is not known.
 */
export function formatAge (ageMs: number): string {
  if (ageMs < 0) return 'never'
  const seconds = ageMs / 1000
  return seconds < MINUTES_FROM_S ? `${seconds.toFixed(1)} s` : `${Math.round(seconds / 60)} min`
}
