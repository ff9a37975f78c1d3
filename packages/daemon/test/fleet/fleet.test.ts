import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { checkFleet } from './checkFleet.js'
import { type FleetOperation, type FleetStep, OPERATIONS, SimulatedFleet } from './SimulatedFleet.js'

const OPERATION_NAMES = Object.keys(OPERATIONS) as FleetOperation[]

interface FleetRun {
  readonly faults: string[]
  readonly ends: string[]
}

async function doTest (steps: readonly FleetStep[], seed = 1): Promise<FleetRun> {
  const fleet = new SimulatedFleet(seed)
  await fleet.start()
  await fleet.run(steps)
  const ends = fleet.reports.map(({ body, final }) => `${body.service} ${final?.outcome ?? 'none'} ${final?.reason ?? ''}`)
  return { faults: checkFleet(fleet), ends: ends.sort() }
}

function createStep (operation: FleetOperation, subject = 0, delayMs = 50): FleetStep {
  return { operation, subject, delayMs }
}

const ALL_REQUESTS = [createStep('requestStreamed', 0, 0), createStep('requestHeld', 0, 0), createStep('requestCharge', 0, 0)]

function createTwoLeavingEngines (target: number): FleetStep[] {
  return [createStep('leaveTarget', target % 3, 0), createStep('leaveTarget', (target + 1) % 3, 0)]
}

/** Failure scenarios, each built around one instance and one target. */
const SCENARIOS: Record<string, (instance: number, target: number) => FleetStep[]> = {
  noFailure: () => ALL_REQUESTS,
  ownerKilled: instance => [...ALL_REQUESTS, createStep('killInstance', instance, 400)],
  ownerPaused: instance => [...ALL_REQUESTS, createStep('pauseInstance', instance, 3), createStep('resumeInstance', instance, 60_000)],
  resumedWithStaleViews: (instance, target) => [
    createStep('pauseInstance', instance), ...createTwoLeavingEngines(target), createStep('leaveTarget', 3 + target % 2, 0), createStep('requestCharge', instance, 3500),
    createStep('requestStreamed', instance, 0), createStep('requestHeld', instance, 0), createStep('resumeInstance', instance, 500)
  ],
  requestedAfterResume: (instance, target) => [
    createStep('pauseInstance', instance), ...createTwoLeavingEngines(target), createStep('leaveTarget', 3 + target % 2, 0), createStep('resumeInstance', instance, 4000),
    createStep('requestCharge', instance, 600), createStep('requestStreamed', instance, 0), createStep('requestHeld', instance, 0)
  ],
  resumedAfterDeadline: instance => [createStep('requestCharge', instance), createStep('pauseInstance', instance, 2), createStep('resumeInstance', instance, 30_000)],
  targetKilled: (_, target) => [...ALL_REQUESTS, createStep('killTarget', target % 3, 300), createStep('killTarget', (target + 1) % 3, 0)],
  repliesReset: () => [createStep('resetReplies', 3), createStep('resetReplies', 4), ...ALL_REQUESTS, ...ALL_REQUESTS],
  repliesLost: () => [createStep('loseReplies', 3), createStep('loseReplies', 4), ...ALL_REQUESTS, ...ALL_REQUESTS],
  isolated: (instance, target) => [
    createStep('splitFleet', instance), createStep('cutPlatform', instance), ...createTwoLeavingEngines(target), createStep('leaveTarget', 3 + target % 2, 0), createStep('requestCharge', instance, 4000),
    createStep('requestStreamed', instance, 0), createStep('requestHeld', instance, 0), createStep('heal', 0, 4000)
  ],
  drained: instance => [...ALL_REQUESTS, createStep('drainInstance', instance, 300), createStep('requestCharge', instance, 1500)],
  restartedWhileStale: instance => [
    createStep('amend', 1), createStep('amend', 2, 1500), createStep('configurationOlder', 0, 2000), createStep('killInstance', instance), createStep('restartInstance', 0, 400), ...ALL_REQUESTS
  ],
  callerLinkCut: instance => [...ALL_REQUESTS, createStep('cutCaller', instance, 200), createStep('heal', 0, 4000)],
  targetLinkCut: (instance, target) => [...ALL_REQUESTS, createStep('cutTarget', instance, 200), createStep('cutTarget', target, 0), createStep('heal', 0, 5000)]
}

const anyStep: fc.Arbitrary<FleetStep> = fc.record({
  operation: fc.constantFrom(...OPERATION_NAMES),
  subject: fc.nat(11),
  delayMs: fc.constantFrom(0, 5, 50, 400, 1500)
})

const anyScenario: fc.Arbitrary<FleetStep[]> = fc.record({
  name: fc.constantFrom(...Object.keys(SCENARIOS)),
  instance: fc.nat(3),
  target: fc.nat(4)
}).map(({ name, instance, target }) => SCENARIOS[name]?.(instance, target) ?? [])

const anyRun = fc.array(fc.oneof(anyScenario, anyStep.map(single => [single])), { minLength: 2, maxLength: 8 }).map(parts => parts.flat())

describe('fleet', () => {
  for (const [name, createSteps] of Object.entries(SCENARIOS)) {
    it(`upholds every guarantee: ${name}`, async () => {
      expect(await doTest(createSteps(0, 1))).toMatchSnapshot()
    })
  }

  it('upholds every guarantee under random failure sequences', async () => {
    await fc.assert(fc.asyncProperty(anyRun, fc.nat(1000), async (steps, seed) => {
      expect((await doTest(steps, seed)).faults).toEqual([])
    }), { seed: 1, numRuns: Number(process.env.FLEET_RUNS ?? 15), endOnFailure: true })
  })
})
