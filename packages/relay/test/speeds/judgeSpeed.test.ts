import { describe, expect, it } from 'vitest'
import { fadeSpeed, judgeSpeed, mergeObservations } from '../../src/speeds/judgeSpeed.js'

describe('judgeSpeed', () => {
  /** Judges an observed speed once a second. */
  const doTest = (current: number, observed: number, seconds: number): number => {
    let speed = current
    for (let second = 0; second < seconds; second++) speed = judgeSpeed(speed, observed, 1000)
    return Math.round(speed * 1000) / 1000
  }

  it('changes nothing within the factor of 1.25, so that noise has no effect', () => expect([doTest(1, 0.81, 9), doTest(1, 1.24, 9)]).toEqual([1, 1]))
  it('follows a speed beyond the factor', () => expect([doTest(1, 0.5, 9), doTest(1, 2, 9)]).toEqual([0.5, 2]))
  it('changes by a factor of 1.5 a second at most, so that a wrong value has a small effect at first', () => expect(doTest(1, 0.1, 1)).toBe(0.667))
  it('takes over a first value at once', () => expect(judgeSpeed(1, 0.5, Infinity)).toBe(0.5))
  it('keeps a slow engine slow until it is clearly ordinary', () => expect([doTest(0.79, 0.82, 9), doTest(0.79, 0.9, 9)]).toEqual([0.79, 1]))
  it('does not follow small differences of a slow engine', () => expect(doTest(0.5, 0.51, 9)).toBe(0.5))
  it('keeps a speed within its range', () => expect([doTest(1, 0.01, 20), doTest(1, 100, 20)]).toEqual([0.1, 10]))
})

describe('fadeSpeed', () => {
  it('leads back to the ordinary speed with the age of the observation', () => {
    expect([0, 15_000, 30_000, 45_000].map(ageMs => Math.round(fadeSpeed(0.5, ageMs) * 100) / 100)).toEqual([0.5, 0.5, 0.71, 1])
  })
})

describe('mergeObservations', () => {
  const create = (value: number, runs: number, observedAtMs = 0): { value: number, runs: number, observedAtMs: number } => ({ value, runs, observedAtMs })

  it('needs two runs of all instances together', () => {
    expect(mergeObservations([create(0.5, 1)])).toBeUndefined()
    expect(mergeObservations([create(0.5, 1.5), create(0.4, 0.5)])).toEqual({ value: 0.5, runs: 2, observedAtMs: 0 })
  })

  it('does not follow a single instance against others', () => expect(mergeObservations([create(0.1, 1000), create(1, 6), create(1, 6)])?.value).toBe(1))
  it('uses what was observed last', () => expect(mergeObservations([create(0.5, 9), create(1, 4, 6000)])?.value).toBe(1))
  it('knows nothing without observations', () => expect(mergeObservations([])).toBeUndefined())
})
