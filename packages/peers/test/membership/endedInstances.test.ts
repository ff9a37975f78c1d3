import { describe, expect, it } from 'vitest'
import { TestFleet } from './TestFleet.js'

/** Limits of the fleet on the platform. */
const LIMITS = { probeMs: 500, probeTimeoutMs: 250, suspicionMs: 1500, syncMs: 5000, searchMs: 1000, maxGossipMembers: 32 }

const SIZE = 60

/** Time in which the views converge after a common start, in milliseconds. */
const START_MS = 20_000

/** Time after its end from which an instance must not be named beside a running one, in milliseconds: the contact time of the platform and 3 s. */
const NAMED_MS = 4000 + 3000

/** Time for which the views are checked after that, in milliseconds; news that are still on their way must not bring ended instances back. */
const OBSERVED_MS = 15_000
const CHECK_INTERVAL_MS = 500

interface Options {
  /** Number of instances that end. */
  readonly ended: number
  /** Time between the ends of two instances, in milliseconds. */
  readonly intervalMs?: number
  readonly seed?: number
}

/** Ends some of 60 instances, and returns the ended ones that any running instance considers alive too late. */
async function doTest ({ ended, intervalMs = 0, seed = 1 }: Options): Promise<string[]> {
  const fleet = TestFleet.create({ size: SIZE, limits: LIMITS, seed })
  await fleet.clock.advance(START_MS)
  expect(fleet.countViews()).toEqual({ [`${SIZE} alive`]: SIZE })
  const endedAtMs = new Map<string, number>()
  const named = new Set<string>()
  const check = (): void => {
    const overdue = [...endedAtMs].filter(([, atMs]) => fleet.clock.nowMs() - atMs > NAMED_MS).map(([name]) => name)
    for (const { membership } of fleet.instances.values()) for (const name of overdue) if (membership.listAlive().includes(name)) named.add(name)
  }
  for (const name of pickSpread(fleet.names, ended)) {
    fleet.kill(name)
    endedAtMs.set(name, fleet.clock.nowMs())
    if (intervalMs > 0) await fleet.clock.advance(intervalMs)
    check()
  }
  for (let passedMs = 0; passedMs < NAMED_MS + OBSERVED_MS; passedMs += CHECK_INTERVAL_MS) {
    await fleet.clock.advance(CHECK_INTERVAL_MS)
    check()
  }
  return [...named]
}

function pickSpread (names: readonly string[], count: number): string[] {
  return Array.from({ length: count }, (_, index) => names[Math.floor(index * names.length / count)]!)
}

describe('Membership of 60 instances of which some end', () => {
  it.each([1, 15, 30, 45, 57, 59])('names none of %i ended ones too late when all end at once', async ended => expect(await doTest({ ended })).toEqual([]))
  it.each([[12, 500], [40, 300]])('names none of %i ended ones too late when one ends after the other', async (ended, intervalMs) => expect(await doTest({ ended, intervalMs })).toEqual([]))
  it.each([2, 3, 4])('names none of 30 ended ones too late with other orders of probes (seed %i)', async seed => expect(await doTest({ ended: 30, seed })).toEqual([]))
})
