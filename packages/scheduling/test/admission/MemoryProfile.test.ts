import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { addProfile, computePeak, createEmptyProfile, estimateProfile } from '../../src/admission/MemoryProfile.js'
import { OutputLengthStatistics } from '../../src/lengths/OutputLengthStatistics.js'

const STATISTICS = OutputLengthStatistics.create()
for (let index = 0; index < 400; index++) STATISTICS.observeLength('s', 'w', 200)
const DISTRIBUTION = STATISTICS.getDistribution('s', 'w')

function doTest (promptTokens: number, producedTokens: number, maxTokens = 10_000): number {
  return Math.round(computePeak(estimateProfile({ promptTokens, producedTokens, maxTokens, lengthDistribution: DISTRIBUTION }), 0))
}

describe('MemoryProfile', () => {
  it('grows with the expected output', () => expect(doTest(100, 0)).toMatchInlineSnapshot('226'))
  it('equals the current memory for an output that is about to end', () => expect(doTest(100, 195)).toMatchInlineSnapshot('295'))
  it('stays within the maximum length of the output', () => expect(doTest(100, 0, 20)).toBeLessThanOrEqual(120))

  it('adds and subtracts profiles', () => {
    const anyGeneration = fc.record({ promptTokens: fc.integer({ min: 1, max: 5000 }), producedTokens: fc.integer({ min: 0, max: 4000 }) })
    fc.assert(fc.property(fc.array(anyGeneration, { maxLength: 10 }), generations => {
      const profiles = generations.map(generation => estimateProfile({ ...generation, maxTokens: 10_000, lengthDistribution: DISTRIBUTION }))
      const sum = createEmptyProfile()
      for (const profile of profiles) addProfile(sum, profile)
      const currentTokens = generations.reduce((total, { promptTokens, producedTokens }) => total + promptTokens + producedTokens, 0)
      expect(computePeak(sum, 0)).toBeGreaterThanOrEqual(currentTokens - 1e-6)
      expect(computePeak(sum, 2)).toBeGreaterThanOrEqual(computePeak(sum, 0))
      for (const profile of profiles) addProfile(sum, profile, -1)
      expect(computePeak(sum, 0)).toBeLessThan(1e-6)
    }), { seed: 1, numRuns: 100 })
  })
})
