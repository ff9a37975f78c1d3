import { describe, expect, it } from 'vitest'
import { GenerationTimeEstimator } from '../../src/placement/GenerationTimeEstimator.js'

const size = { promptTokens: 100, maxOutputTokens: 400, expectedOutputTokens: 100 }

/** Estimates the duration of a generation after others, given as tokens and duration, have ended. */
function doTest (...ended: Array<readonly [tokens: number, durationMs: number]>): number {
  const estimator = GenerationTimeEstimator.create()
  for (const [tokens, durationMs] of ended) estimator.recordGeneration('s', tokens, durationMs)
  return Math.round(estimator.estimateDurationMs('s', size))
}

describe('GenerationTimeEstimator', () => {
  it('assumes a default time per token at first', () => expect(doTest()).toBe(1000))
  it('adapts to generations that have ended', () => expect(doTest(...Array.from({ length: 50 }, () => [10, 200] as const))).toBeGreaterThan(1900))
  it('is not dominated by a single generation', () => expect(doTest([10, 10_000])).toBe(10_900))
  it('ignores a generation with a single event', () => expect(doTest([0, 0])).toBe(1000))
  it('expects half of the maximum output when the caller gave no estimate', () => {
    expect(GenerationTimeEstimator.create().estimateDurationMs('s', { promptTokens: 1, maxOutputTokens: 400 })).toBe(2000)
  })
  it('estimates by the speed of the engine where it is known', () => {
    const estimator = GenerationTimeEstimator.create()
    for (let run = 0; run < 100; run++) estimator.recordGeneration('s', 10, 400, 0.5)
    expect([undefined, 1, 0.5].map(speed => Math.round(estimator.estimateDurationMs('s', size, speed) / 100))).toEqual([40, 20, 40])
  })
  it('estimates the same for any engine and for one of ordinary speed while all are equal', () => {
    const estimator = GenerationTimeEstimator.create()
    estimator.recordGeneration('s', 10, 300)
    expect(estimator.estimateDurationMs('s', size, 1)).toBe(estimator.estimateDurationMs('s', size))
  })
  it('estimates 0 for a request without sizes', () => expect(GenerationTimeEstimator.create().estimateDurationMs('s', undefined)).toBe(0))
})
