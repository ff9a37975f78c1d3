import { rankByRendezvous } from '@fescuespoke/common'
import { type EngineProfile } from '../model/RelayConfiguration.js'

/** Memory that the runs of one instance hold at an engine. */
export interface HeldMemory {
  readonly instance: string
  /** Number of tokens held. */
  readonly tokens: number
}

/** Duration of the first copy and the short copies after it, as a multiple of the transfer time of the first copy. */
const REPEATED_COPY_FACTOR = 1.2

const BITS_PER_BYTE = 8

/** Number of bits that a link of one megabit per second transfers in a millisecond. */
const BITS_PER_MS_PER_MBPS = 1000

/**
 * Computes how long a copy takes on an otherwise idle link, in milliseconds.
 * @param tokens - Number of tokens to copy.
 * @param profile - Capabilities of the engine.
 */
export function computeCopyDurationMs (tokens: number, profile: EngineProfile): number {
  if (profile.linkMbps <= 0) return 0
  return tokens * profile.tokenBytes * BITS_PER_BYTE / (profile.linkMbps * BITS_PER_MS_PER_MBPS)
}

/**
 * Computes when an instance starts to copy its runs off an engine that shuts down, in milliseconds after the notice. The link
 * of the engine processes copies in the order of the requests. Each instance derives the same order of instances from the loads
 * that peers reported, so that the short last copies of a run never wait behind the first copies of other instances.
 * @param engine - Name of the engine.
 * @param instance - Name of this instance.
 * @param peers - Memory that the other instances hold at the engine.
 * @param profile - Capabilities of the engine.
 */
export function computeCopyDelayMs (engine: string, instance: string, peers: readonly HeldMemory[], profile: EngineProfile): number {
  const order = rankByRendezvous(engine, [instance, ...peers.map(peer => peer.instance)])
  const earlierInstances = new Set(order.slice(0, order.indexOf(instance)))
  const tokens = peers.reduce((sum, peer) => sum + (earlierInstances.has(peer.instance) ? peer.tokens : 0), 0)
  return computeCopyDurationMs(tokens, profile) * REPEATED_COPY_FACTOR
}
