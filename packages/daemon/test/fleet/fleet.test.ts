import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { checkFleet } from './checkFleet.js'
import { type FleetOperation, type FleetStep, OPERATIONS, SimulatedFleet } from './SimulatedFleet.js'

const NAMES = Object.keys(OPERATIONS) as FleetOperation[]

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

function step (operation: FleetOperation, subject = 0, delayMs = 50): FleetStep {
  return { operation, subject, delayMs }
}

const ALL_REQUESTS = [step('requestStreamed', 0, 0), step('requestHeld', 0, 0), step('requestCharge', 0, 0)]

function leaveTwoEngines (target: number): FleetStep[] {
  return [step('leaveTarget', target % 3, 0), step('leaveTarget', (target + 1) % 3, 0)]
}

/** Situations that failures have to meet, each around one instance and one target. */
const SITUATIONS: Record<string, (instance: number, target: number) => FleetStep[]> = {
  none: () => ALL_REQUESTS,
  ownerKilled: instance => [...ALL_REQUESTS, step('killInstance', instance, 400)],
  ownerPaused: instance => [...ALL_REQUESTS, step('pauseInstance', instance, 3), step('resumeInstance', instance, 60_000)],
  wokenWithOldViews: (instance, target) => [
    step('pauseInstance', instance), ...leaveTwoEngines(target), step('leaveTarget', 3 + target % 2, 0), step('requestCharge', instance, 3500),
    step('requestStreamed', instance, 0), step('requestHeld', instance, 0), step('resumeInstance', instance, 500)
  ],
  askedAfterWaking: (instance, target) => [
    step('pauseInstance', instance), ...leaveTwoEngines(target), step('leaveTarget', 3 + target % 2, 0), step('resumeInstance', instance, 4000),
    step('requestCharge', instance, 600), step('requestStreamed', instance, 0), step('requestHeld', instance, 0)
  ],
  wokenAfterDeadline: instance => [step('requestCharge', instance), step('pauseInstance', instance, 2), step('resumeInstance', instance, 30_000)],
  targetKilled: (_, target) => [...ALL_REQUESTS, step('killTarget', target % 3, 300), step('killTarget', (target + 1) % 3, 0)],
  repliesReset: () => [step('resetReplies', 3), step('resetReplies', 4), ...ALL_REQUESTS, ...ALL_REQUESTS],
  repliesLost: () => [step('loseReplies', 3), step('loseReplies', 4), ...ALL_REQUESTS, ...ALL_REQUESTS],
  cutOff: (instance, target) => [
    step('splitFleet', instance), step('cutPlatform', instance), ...leaveTwoEngines(target), step('leaveTarget', 3 + target % 2, 0), step('requestCharge', instance, 4000),
    step('requestStreamed', instance, 0), step('requestHeld', instance, 0), step('heal', 0, 4000)
  ],
  drained: instance => [...ALL_REQUESTS, step('drainInstance', instance, 300), step('requestCharge', instance, 1500)],
  restartedWhileStale: instance => [
    step('amend', 1), step('amend', 2, 1500), step('configurationOlder', 0, 2000), step('killInstance', instance), step('restartInstance', 0, 400), ...ALL_REQUESTS
  ],
  callerCut: instance => [...ALL_REQUESTS, step('cutCaller', instance, 200), step('heal', 0, 4000)],
  targetCut: (instance, target) => [...ALL_REQUESTS, step('cutTarget', instance, 200), step('cutTarget', target, 0), step('heal', 0, 5000)]
}

const anyStep: fc.Arbitrary<FleetStep> = fc.record({
  operation: fc.constantFrom(...NAMES),
  subject: fc.nat(11),
  delayMs: fc.constantFrom(0, 5, 50, 400, 1500)
})

const anySituation: fc.Arbitrary<FleetStep[]> = fc.record({
  name: fc.constantFrom(...Object.keys(SITUATIONS)),
  instance: fc.nat(3),
  target: fc.nat(4)
}).map(({ name, instance, target }) => SITUATIONS[name]?.(instance, target) ?? [])

const anyRun = fc.array(fc.oneof(anySituation, anyStep.map(single => [single])), { minLength: 2, maxLength: 8 }).map(parts => parts.flat())

describe('fleet', () => {
  for (const [name, createSteps] of Object.entries(SITUATIONS)) {
    it(`keeps every promise: ${name}`, async () => {
      expect(await doTest(createSteps(0, 1))).toMatchSnapshot()
    })
  }

  it('keeps every promise under any mixture of failures', async () => {
    await fc.assert(fc.asyncProperty(anyRun, fc.nat(1000), async (steps, seed) => {
      expect((await doTest(steps, seed)).faults).toEqual([])
    }), { seed: 1, numRuns: Number(process.env.FLEET_RUNS ?? 15), endOnFailure: true })
  })
})
