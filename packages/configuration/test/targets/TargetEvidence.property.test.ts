import { type Target } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { TargetEvidence } from '../../src/index.js'
import { TestFleet, type TestInstance } from '../support/TestFleet.js'

const INSTANCES = ['i0', 'i1', 'i2', 'i3']
const TARGET: Target = { name: 'a', url: 'http://a', availabilityZone: 'z', region: 'r', fencing: 'ignored' }
const LIVE: ListedEntry[] = ['a', 'b', 'c'].map(id => ({ id, role: 'target', state: 'live' }))
const LEAVING = LIVE.map(entry => entry.id === 'a' ? { ...entry, state: 'leaving' as const } : entry)

/** Time after which a leaving target gets no new work, in milliseconds. */
const LEAVING_MS = 3000

interface Faults {
  /** Instances that the list does not answer. */
  readonly cutOff: readonly string[]
  /** Instances that do not reach the others. */
  readonly group: readonly string[]
  /** Time between the faults and the leaving. */
  readonly beforeMs: number
  readonly pauseMs: number
  /** Whether the pause comes before the last instances can learn of the leaving. */
  readonly isPausedAtOnce: boolean
  readonly restarted: string | undefined
}

const faults: fc.Arbitrary<Faults> = fc.record({
  cutOff: fc.subarray(INSTANCES),
  group: fc.subarray(INSTANCES),
  beforeMs: fc.integer({ min: 0, max: 6000 }),
  pauseMs: fc.constantFrom(0, 500, 5000, 60_000),
  isPausedAtOnce: fc.boolean(),
  restarted: fc.option(fc.constantFrom(...INSTANCES), { nil: undefined })
})

/** Lists the instances that are linked to the list, directly or through others. */
function listLinked ({ cutOff, group }: Faults): string[] {
  const groups = [group, INSTANCES.filter(name => !group.includes(name))]
  return groups.filter(names => names.some(name => !cutOff.includes(name))).flat()
}

function createEvidence (fleet: TestFleet, instance: TestInstance, getState: () => 'active' | 'leaving'): TargetEvidence {
  const { clock } = fleet
  const reader = {
    fetchState: async () => {
      await clock.sleep(2)
      return Result.ok({ target: 'a', incarnation: '1', state: getState() })
    }
  }
  return TargetEvidence.create({ clock, audit: instance.audit, list: instance.list, seeker: instance.listFollower, reader })
}

/** Lets a target leave under faults, and lists the instances that would still give it work. */
async function findGivers (given: Faults, isKnownToTarget: boolean): Promise<string[]> {
  const fleet = TestFleet.create()
  let state: 'active' | 'leaving' = 'active'
  fleet.platform.publishList(1, LIVE)
  for (const instance of INSTANCES) await fleet.startInstance(instance, 'z')
  await fleet.clock.advance(2000)
  fleet.platform.isUpFor = reader => !given.cutOff.includes(reader)
  fleet.network.split([...given.group], INSTANCES.filter(name => !given.group.includes(name)))
  if (given.restarted !== undefined) await fleet.startInstance(given.restarted, 'z')
  await fleet.clock.advance(given.beforeMs)
  fleet.platform.publishList(2, LEAVING)
  if (isKnownToTarget) state = 'leaving'
  if (given.isPausedAtOnce) fleet.clock.jump(Math.max(given.pauseMs, LEAVING_MS))
  else await fleet.clock.advance(LEAVING_MS)
  if (!given.isPausedAtOnce) fleet.clock.jump(given.pauseMs)
  const givers: string[] = []
  for (const [name, instance] of fleet.instances) {
    const evidence = createEvidence(fleet, instance, () => state)
    const isOpen = evidence.isFreshFor('a')
    const confirming = evidence.confirm(TARGET)
    await fleet.clock.advance(400)
    if (isOpen || (await confirming).isOk) givers.push(name)
  }
  await fleet.stop()
  return givers
}

async function doTest (isKnownToTarget: boolean, seed: number): Promise<void> {
  await fc.assert(fc.asyncProperty(faults, async given => {
    const givers = await findGivers(given, isKnownToTarget)
    const linked = listLinked(given)
    expect(isKnownToTarget ? givers : givers.filter(name => linked.includes(name))).toEqual([])
  }), { seed, numRuns: 25, endOnFailure: true })
}

describe('TargetEvidence under mixed faults', () => {
  it('gives a leaving target no work from an instance that is linked to the list', async () => await doTest(false, 41))

  it('gives a leaving target no work from any instance when the target knows it', async () => await doTest(true, 42))
})
