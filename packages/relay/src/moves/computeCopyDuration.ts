import { type EngineProfile } from '../model/RelayConfiguration.js'

const BITS_PER_BYTE = 8

/** Number of bits that a link of one megabit per second transfers in a millisecond. */
const BITS_PER_MS_PER_MBPS = 1000

/** Duration of a copy to another availability zone, as a multiple of the duration within the zone. */
export const REMOTE_COPY_FACTOR = 2

/**
 * Computes how long a copy takes within an availability zone on an otherwise idle link, in milliseconds.
 * @param tokens - Number of tokens to copy.
 * @param profile - Capabilities of the engine.
 */
export function computeCopyDurationMs (tokens: number, profile: EngineProfile): number {
  if (profile.linkMbps <= 0) return 0
  return tokens * profile.tokenBytes * BITS_PER_BYTE / (profile.linkMbps * BITS_PER_MS_PER_MBPS)
}
