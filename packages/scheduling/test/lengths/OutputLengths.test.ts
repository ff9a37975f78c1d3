import { describe, expect, it } from 'vitest'
import { OutputLengths } from '../../src/lengths/OutputLengths.js'

function learnLengths (lengths: readonly number[], workspace = 'w', repeats = 50): OutputLengths {
  const learned = OutputLengths.create()
  for (let index = 0; index < repeats; index++) {
    for (const length of lengths) learned.observeLength('s', workspace, length)
  }
  return learned
}

function doTest (lengths: readonly number[], producedTokens: number, maxTokens?: number): number {
  return Math.round(learnLengths(lengths).getTable('s', 'w').estimateRemaining(producedTokens, maxTokens))
}

describe('OutputLengths', () => {
  it('expects about the mean of what it has seen', () => expect(doTest([100], 0)).toMatchInlineSnapshot('229'))
  it('expects the rest of a long answer once the short ones are ruled out', () => expect(doTest([20, 1000], 100)).toMatchInlineSnapshot('903'))
  it('expects more of an answer that is longer than any before', () => expect(doTest([100], 5000)).toBeGreaterThan(500))
  it('expects nothing beyond the bound of the caller', () => expect(doTest([1000], 0, 10)).toBeLessThanOrEqual(10))
  it('expects nothing at the bound', () => expect(doTest([1000], 10, 10)).toBe(0))

  it('uses a broad prior while nothing is known', () => {
    expect(Math.round(OutputLengths.create().getTable('s', 'w').estimateRemaining(0))).toMatchInlineSnapshot('817')
  })

  it('uses the lengths of the service for a workspace that is new', () => {
    const learned = learnLengths([100], 'other')
    expect(learned.getTable('s', 'w')).toBe(learned.getTable('s', 'another'))
  })

  it('uses the own lengths of a workspace that is known', () => {
    const learned = learnLengths([100], 'a')
    for (let index = 0; index < 50; index++) learned.observeLength('s', 'b', 1000)
    const [short, long] = ['a', 'b'].map(workspace => learned.getTable('s', workspace).estimateRemaining(0)) as [number, number]
    expect(long).toBeGreaterThan(short * 3)
  })

  it('hands over what it has learned', () => {
    const fresh = OutputLengths.create()
    fresh.acceptHistograms(learnLengths([100]).encodeHistograms())
    const ratio = fresh.getTable('s', 'w').estimateRemaining(0) / learnLengths([100]).getTable('s', 'w').estimateRemaining(0)
    expect(Math.abs(ratio - 1)).toBeLessThan(0.05)
  })

  it('keeps its own lengths against those of a peer', () => {
    const own = learnLengths([100])
    const before = own.getTable('s', 'w')
    own.acceptHistograms(learnLengths([5000]).encodeHistograms())
    expect(own.getTable('s', 'w')).toBe(before)
  })

  it('passes over what it cannot decode', () => {
    const fresh = OutputLengths.create()
    fresh.acceptHistograms({ 's\u0000': 'garbage' })
    expect(fresh.encodeHistograms()).toEqual({})
  })
})
