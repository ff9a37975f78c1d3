import { rankByRendezvous } from '@fescuespoke/common'
import { type EngineProfile } from '../model/RelayConfiguration.js'

/** Memory that the runs of one instance hold at an engine. */
export interface HeldMemory {
  /** Name of the instance. */
  readonly instance: string
  /** Tokens that its runs hold there now. */
  readonly tokens: number
}

/** Time of a copy with the short ones that follow it, as a multiple of its time on the link. */
const REPEATED_COPY_FACTOR = 1.2

/** Bits of a byte. */
const BITS_PER_BYTE = 8

/** Megabits a second are so many bits in a millisecond. */
const BITS_PER_MS_PER_MBPS = 1000

/**
 * Computes the time that a copy takes on a link of its own, in milliseconds.
 * @param tokens - Tokens that are copied.
 * @param profile - What the engine can do.
 */
export function computeCopyDurationMs (tokens: number, profile: EngineProfile): number {
  if (profile.linkMbps <= 0) return 0
  return tokens * profile.tokenBytes * BITS_PER_BYTE / (profile.linkMbps * BITS_PER_MS_PER_MBPS)
}

/**
 * Computes when an instance begins to copy its runs off an engine that leaves, in milliseconds after the notice. Copies queue
 * on the engine's link in the order in which they are asked for, so instances take turns, in an order that each works out
 * from what peers told of their runs there: a run's short last copies then never wait behind the first copies of others.
 * @param engine - Name of the engine.
 * @param instance - Name of this instance.
 * @param peers - What the others hold there.
 * @param profile - What the engine can do.
 */
export function computeCopyDelayMs (engine: string, instance: string, peers: readonly HeldMemory[], profile: EngineProfile): number {
  const order = rankByRendezvous(engine, [instance, ...peers.map(peer => peer.instance)])
  const earlierInstances = new Set(order.slice(0, order.indexOf(instance)))
  const tokens = peers.reduce((sum, peer) => sum + (earlierInstances.has(peer.instance) ? peer.tokens : 0), 0)
  return computeCopyDurationMs(tokens, profile) * REPEATED_COPY_FACTOR
}
