import { describe, expect, it } from 'vitest'
import { estimateHoldTokens } from '../../src/placement/estimateTokens.js'

const doTest = estimateHoldTokens

describe('estimateHoldTokens', () => {
  it('counts the prompt and the whole expected output', () => {
    expect(doTest({ promptTokens: 3079, maxOutputTokens: 1500, expectedOutputTokens: 748 })).toBe(3827)
  })

  it('expects no more output than the stated maximum', () => {
    expect(doTest({ promptTokens: 100, maxOutputTokens: 50, expectedOutputTokens: 748 })).toBe(150)
  })

  it('expects a share of the maximum without an estimate, in whole tokens', () => {
    expect(doTest({ promptTokens: 100, maxOutputTokens: 51 })).toBe(126)
  })

  it('assumes a usual size for a request that states none', () => {
    expect(doTest(undefined)).toBe(2000)
  })
})
