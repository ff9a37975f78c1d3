import { type Clock, rankByRendezvous } from '@fescuespoke/common'
import { type HeldMemory, type TargetLoads } from '../loads/TargetLoads.js'
import { type EngineProfile } from '../model/RelayConfiguration.js'
import { computeCopyDurationMs, REMOTE_COPY_FACTOR } from './computeCopyDuration.js'

/** Options of waiting for a turn. */
export interface CopyTurnOptions {
  readonly clock: Clock
  readonly loads: TargetLoads
  /** Name of this instance. */
  readonly instance: string
  /** Name of the engine that shuts down. */
  readonly engine: string
  readonly profile: EngineProfile
  /** Clock reading at which the wait ends in any case. */
  readonly latestStartMs: number
}

/** Interval at which the loads that peers reported are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 5

/** Time that an earlier instance needs beside its copies, until its peers know that it has finished, in milliseconds. */
const HANDOVER_MS = 50

/**
 * Lists the instances that copy their runs off an engine before this one. All instances derive the same order from the loads that
 * peers reported, so that the link of the engine, which processes copies in the order of the requests, serves one instance at a time.
 * @param engine - Name of the engine.
 * @param instance - Name of this instance.
 * @param peers - Memory that the other instances hold at the engine.
 */
export function listEarlierInstances (engine: string, instance: string, peers: readonly HeldMemory[]): HeldMemory[] {
  const holding = peers.filter(({ tokens }) => tokens > 0)
  const order = rankByRendezvous(engine, [instance, ...holding.map(peer => peer.instance)])
  const earlier = new Set(order.slice(0, order.indexOf(instance)))
  return holding.filter(peer => earlier.has(peer.instance))
}

/**
 * Waits until all instances that copy their runs off an engine before this one have finished. An instance that reports no progress
 * is waited for only as long as its copies may take, to destinations in other zones, so that a lost message costs time but never blocks a move.
 * @param options - Options of the wait.
 */
export async function waitForCopyTurn ({ clock, loads, instance, engine, profile, latestStartMs }: CopyTurnOptions): Promise<void> {
  let previousTokens = Infinity
  let turnMs = latestStartMs
  while (clock.nowMs() < Math.min(turnMs, latestStartMs)) {
    const earlier = listEarlierInstances(engine, instance, loads.listHeldMemory(engine))
    if (earlier.length === 0) return
    const tokens = sumTokens(earlier)
    if (tokens < previousTokens) turnMs = clock.nowMs() + computeCopyDurationMs(tokens, profile) * REMOTE_COPY_FACTOR + earlier.length * HANDOVER_MS
    previousTokens = tokens
    await clock.sleep(CHECK_INTERVAL_MS)
  }
}

function sumTokens (peers: readonly HeldMemory[]): number {
  return peers.reduce((sum, { tokens }) => sum + tokens, 0)
}
