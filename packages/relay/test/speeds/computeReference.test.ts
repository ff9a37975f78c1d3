import { describe, expect, it } from 'vitest'
import { computeReference, computeSpeedRatio, estimateGapMs, type SpeedReference } from '../../src/speeds/computeReference.js'
import { type RunSample } from '../../src/speeds/TargetRuns.js'

const createRun = (typicalMs: number, running: number, change: Partial<RunSample> = {}): RunSample => ({ id: `${typicalMs}-${running}`, kind: 'stream', typicalMs, excessMs: 0, running, weight: 1, observedAtMs: 0, ...change })

/** Creates runs of an engine of some speed whose gap is 28 ms alone and grows by 0.48 ms for each running request. */
const createRuns = (speed: number, ...running: number[]): RunSample[] => running.map(count => createRun((28 + 0.48 * count) / speed, count))

/** Returns the reference of three ordinary engines and the ratio of a further one, rounded. */
function doTest (others: readonly RunSample[][], runs: readonly RunSample[]): { reference: SpeedReference, ratio: number | undefined } {
  const reference = computeReference([...others, runs])
  const ratio = computeSpeedRatio(runs, reference)
  return { reference, ratio: ratio === undefined ? undefined : Math.round(ratio * 100) / 100 }
}

describe('computeReference', () => {
  it('learns how much a gap grows with the load', () => {
    const { reference } = doTest([createRuns(1, 1, 5, 9), createRuns(0.5, 2, 6, 10), createRuns(1, 3, 7, 12)], createRuns(1, 2, 4))
    expect(reference.typicalMs).toBeCloseTo(28)
    expect(reference.loadSlope).toBeCloseTo(0.48 / 28)
  })

  it('does not take a busy engine for a slow one', () => {
    expect(doTest([createRuns(1, 1, 5, 9), createRuns(1, 1, 5, 9), createRuns(1, 2, 6, 10)], createRuns(1, 18, 20, 24)).ratio).toBe(1)
  })

  it('does not take a slow engine with few requests for a busy one', () => {
    expect(doTest([createRuns(1, 8, 14, 20), createRuns(1, 9, 18), createRuns(1, 10, 16, 20)], createRuns(0.5, 1, 5, 9)).ratio).toBe(0.5)
  })

  it('compares no different loads while the growth is not known', () => {
    expect(doTest([createRuns(1, 2), createRuns(1, 3), createRuns(1, 3)], createRuns(1, 24)).ratio).toBeUndefined()
  })

  it('compares similar loads while the growth is not known', () => {
    expect(doTest([createRuns(1, 2), createRuns(1, 3), createRuns(1, 3)], createRuns(0.5, 3)).ratio).toBe(0.5)
  })

  it('compares nothing with fewer than three targets, where the median follows a single one', () => {
    expect(doTest([createRuns(1, 2, 3)], createRuns(0.5, 3)).ratio).toBeUndefined()
  })

  it('keeps the growth that it learned while the load does not vary', () => {
    const learned = computeReference([createRuns(1, 1, 5, 9), createRuns(1, 2, 6, 10), createRuns(1, 3, 7, 12)])
    expect(computeReference([createRuns(1, 4), createRuns(1, 4), createRuns(1, 4)], learned).loadSlope).toBe(learned.loadSlope)
  })

  it('uses the latest runs of a target, which may have changed', () => {
    const runs = [...createRuns(0.5, 2, 3, 4).map((run, index) => ({ ...run, id: `${index}` })), createRun(28.96, 2, { observedAtMs: 20_000 })]
    expect(doTest([createRuns(1, 2), createRuns(1, 2), createRuns(1, 2)], runs).ratio).toBeCloseTo(1)
  })
})

describe('estimateGapMs', () => {
  it('adds what the prompts of running requests cause', () => {
    expect(estimateGapMs({ typicalMs: 28, loadSlope: 0.02, excessMsPerRequest: 2, running: 4 }, 10, 0.5)).toBeCloseTo(107.2)
  })
})
