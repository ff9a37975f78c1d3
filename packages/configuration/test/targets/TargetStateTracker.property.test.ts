import { type Target } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { TargetStateTracker } from '../../src/index.js'
import { TestFleet, type TestInstance } from '../support/TestFleet.js'

const INSTANCES = ['i0', 'i1', 'i2', 'i3']
const TARGET: Target = { name: 'a', url: 'http://a', availabilityZone: 'z', region: 'r', fencing: 'ignored' }
const LIVE: ListedEntry[] = ['a', 'b', 'c'].map(id => ({ id, role: 'target', state: 'live' }))
const LEAVING = LIVE.map(entry => entry.id === 'a' ? { ...entry, state: 'leaving' as const } : entry)

/** Time after which a leaving target must not receive new work, in milliseconds. */
const LEAVING_MS = 3000

interface Faults {
  /** Instances that cannot read the list. */
  readonly withoutList: readonly string[]
  /** Instances that cannot reach the others. */
  readonly isolatedGroup: readonly string[]
  /** Time in milliseconds from the start of the faults until the target is leaving. */
  readonly beforeMs: number
  readonly pauseMs: number
  /** Whether the pause begins as soon as the target is leaving, before instances can receive its state. */
  readonly isPausedImmediately: boolean
  readonly restarted: string | undefined
}

const faults: fc.Arbitrary<Faults> = fc.record({
  withoutList: fc.subarray(INSTANCES),
  isolatedGroup: fc.subarray(INSTANCES),
  beforeMs: fc.integer({ min: 0, max: 6000 }),
  pauseMs: fc.constantFrom(0, 500, 5000, 60_000),
  isPausedImmediately: fc.boolean(),
  restarted: fc.option(fc.constantFrom(...INSTANCES), { nil: undefined })
})

/** Lists the instances that can receive the list, directly or through others. */
function listConnected ({ withoutList, isolatedGroup }: Faults): string[] {
  const groups = [isolatedGroup, INSTANCES.filter(name => !isolatedGroup.includes(name))]
  return groups.filter(names => names.some(name => !withoutList.includes(name))).flat()
}

function createTracker (fleet: TestFleet, instance: TestInstance, getState: () => 'active' | 'leaving'): TargetStateTracker {
  const { clock } = fleet
  const reader = {
    fetchState: async () => {
      await clock.sleep(2)
      return Result.ok({ target: 'a', incarnation: '1', state: getState() })
    }
  }
  return TargetStateTracker.create({ clock, audit: instance.audit, list: instance.list, listRefresher: instance.listFollower, reader })
}

/** Publishes a target as leaving during faults, and lists the instances that would still assign work to it. */
async function findAssigningInstances (scenario: Faults, isReportedByTarget: boolean): Promise<string[]> {
  const fleet = TestFleet.create()
  let state: 'active' | 'leaving' = 'active'
  fleet.platform.publishList(1, LIVE)
  for (const instance of INSTANCES) await fleet.startInstance(instance, 'z')
  await fleet.clock.advance(2000)
  fleet.platform.isUpFor = reader => !scenario.withoutList.includes(reader)
  fleet.network.split([...scenario.isolatedGroup], INSTANCES.filter(name => !scenario.isolatedGroup.includes(name)))
  if (scenario.restarted !== undefined) await fleet.startInstance(scenario.restarted, 'z')
  await fleet.clock.advance(scenario.beforeMs)
  fleet.platform.publishList(2, LEAVING)
  if (isReportedByTarget) state = 'leaving'
  if (scenario.isPausedImmediately) fleet.clock.jump(Math.max(scenario.pauseMs, LEAVING_MS))
  else await fleet.clock.advance(LEAVING_MS)
  if (!scenario.isPausedImmediately) fleet.clock.jump(scenario.pauseMs)
  const assigningInstances: string[] = []
  for (const [name, instance] of fleet.instances) {
    const tracker = createTracker(fleet, instance, () => state)
    const canReceiveWork = tracker.canReceiveWork('a')
    const confirming = tracker.confirm(TARGET)
    await fleet.clock.advance(400)
    if (canReceiveWork || (await confirming).isOk) assigningInstances.push(name)
  }
  await fleet.stop()
  return assigningInstances
}

async function doTest (isReportedByTarget: boolean, seed: number): Promise<void> {
  await fc.assert(fc.asyncProperty(faults, async scenario => {
    const assigningInstances = await findAssigningInstances(scenario, isReportedByTarget)
    const connected = listConnected(scenario)
    expect(isReportedByTarget ? assigningInstances : assigningInstances.filter(name => connected.includes(name))).toEqual([])
  }), { seed, numRuns: 25, endOnFailure: true })
}

describe('TargetStateTracker with combined faults', () => {
  it('assigns no work to a leaving target from an instance that can receive the list', async () => await doTest(false, 41))

  it('assigns no work to a leaving target from any instance when the target reports that it is leaving', async () => await doTest(true, 42))
})
