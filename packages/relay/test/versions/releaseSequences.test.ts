import { pickIndex, SeededRandom } from '@fescuespoke/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ReleaseFleet } from '../support/ReleaseFleet.js'

type Step = 'startEngine' | 'nextVersion' | 'previousVersion' | 'retireEngine' | 'crashEngine' | 'resetEngine' | 'restartInstance' | 'loseMessages' | 'separateInstance' | 'healNetwork' | 'restartAll'

const STEPS: readonly Step[] = ['startEngine', 'nextVersion', 'previousVersion', 'retireEngine', 'crashEngine', 'resetEngine', 'restartInstance', 'loseMessages', 'separateInstance', 'healNetwork']
const STEPS_WITH_TOTAL_RESTARTS: readonly Step[] = [...STEPS, 'restartAll']
const INSTANCE_COUNT = 4
/** Time of callers by default, and the longest one, in milliseconds. */
const PATIENCE_MS = 8000
const LONGEST_PATIENCE_MS = 39_120
const STREAM_INTERVAL_MS = 60

/** Plays steps with times between them while callers send streams; returns the number of streams with events of two versions. */
async function doTest (steps: ReadonlyArray<readonly [Step, number]>, seed: number, patienceMs = PATIENCE_MS): Promise<number> {
  const random = SeededRandom.create(seed)
  const fleet = ReleaseFleet.create({ instanceCount: INSTANCE_COUNT, seed, doCallersReturn: true, patienceMs })
  let version = 1
  let engineCount = 0
  const startEngine = (): void => fleet.startEngine(`e${++engineCount}`, `v${version}`)
  const pickEngine = (): string => {
    const names = fleet.listEngines()
    return names[pickIndex(random, Math.max(1, names.length))] ?? ''
  }
  const handlers: Record<Step, () => void> = {
    startEngine,
    nextVersion: () => { version++; startEngine() },
    previousVersion: () => { version = Math.max(1, version - 1); startEngine() },
    retireEngine: () => fleet.retireEngine(pickEngine()),
    crashEngine: () => fleet.crashEngine(pickEngine()),
    resetEngine: () => fleet.resetEngine(pickEngine()),
    restartInstance: () => fleet.restartInstance(pickIndex(random, INSTANCE_COUNT)),
    loseMessages: () => fleet.network.setFaults({ lossRate: 0.3, duplicateRate: 0.1, delayRate: 0.2, delayMs: 80 }),
    separateInstance: () => fleet.separateInstance(pickIndex(random, INSTANCE_COUNT)),
    healNetwork: () => fleet.network.heal(),
    restartAll: () => fleet.restartAll()
  }
  for (let index = 0; index < 4; index++) startEngine()
  let atMs = 200
  for (const [step, pauseMs] of steps) fleet.clock.startTimer(atMs += pauseMs, handlers[step])
  for (let sentAtMs = 150; sentAtMs < atMs + 1000; sentAtMs += STREAM_INTERVAL_MS) fleet.clock.startTimer(sentAtMs, () => { fleet.sendStream() })
  await fleet.clock.advance(atMs + patienceMs + 4000)
  return fleet.countMixed()
}

describe('any sequence of releases and disruptions', () => {
  it('never lets a stream hold events of two software versions', async () => {
    const steps = fc.array(fc.tuple(fc.constantFrom(...STEPS), fc.integer({ min: 20, max: 600 })), { minLength: 5, maxLength: 25 })
    await fc.assert(fc.asyncProperty(steps, fc.nat(10_000), async (sequence, seed) => {
      expect(await doTest(sequence, seed)).toBe(0)
    }), { numRuns: 30, seed: 24, endOnFailure: true })
  }, 60_000)
  it('never lets a stream hold events of two software versions when all instances restart and callers resume up to their limit', async () => {
    const steps = fc.array(fc.tuple(fc.constantFrom(...STEPS_WITH_TOTAL_RESTARTS), fc.integer({ min: 20, max: 1500 })), { minLength: 8, maxLength: 25 })
    await fc.assert(fc.asyncProperty(steps, fc.nat(10_000), async (sequence, seed) => {
      expect(await doTest(sequence, seed, LONGEST_PATIENCE_MS)).toBe(0)
    }), { numRuns: 10, seed: 25, endOnFailure: true })
  }, 60_000)
})
