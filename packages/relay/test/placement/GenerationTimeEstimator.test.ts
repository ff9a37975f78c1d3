import { describe, expect, it } from 'vitest'
import { GenerationTimeEstimator } from '../../src/placement/GenerationTimeEstimator.js'

const size = { promptTokens: 100, maxOutputTokens: 400, expectedOutputTokens: 100 }

/** Estimates a generation after others, each given as tokens and duration, have ended. */
function doTest (...ended: Array<readonly [tokens: number, durationMs: number]>): number {
  const estimator = GenerationTimeEstimator.create()
  for (const [tokens, durationMs] of ended) estimator.recordGeneration('s', tokens, durationMs)
  return Math.round(estimator.estimateDurationMs('s', size))
}

describe('GenerationPace', () => {
  it('assumes a pace at first', () => expect(doTest()).toBe(1000))
  it('learns from generations that ended', () => expect(doTest(...Array.from({ length: 50 }, () => [10, 200] as const))).toBeGreaterThan(1900))
  it('does not follow a single one', () => expect(doTest([10, 10_000])).toBe(10_900))
  it('learns nothing from a generation of one event', () => expect(doTest([0, 0])).toBe(1000))
  it('expects half of the maximum where no estimate was given', () => {
    expect(GenerationTimeEstimator.create().estimateDurationMs('s', { promptTokens: 1, maxOutputTokens: 400 })).toBe(2000)
  })
  it('expects nothing of a request without sizes', () => expect(GenerationTimeEstimator.create().estimateDurationMs('s', undefined)).toBe(0))
})
