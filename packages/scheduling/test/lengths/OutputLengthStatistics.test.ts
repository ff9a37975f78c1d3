import { describe, expect, it } from 'vitest'
import { OutputLengthStatistics } from '../../src/lengths/OutputLengthStatistics.js'

function createStatistics (lengths: readonly number[], workspace = 'w', repeats = 50): OutputLengthStatistics {
  const statistics = OutputLengthStatistics.create()
  for (let index = 0; index < repeats; index++) {
    for (const length of lengths) statistics.observeLength('s', workspace, length)
  }
  return statistics
}

function doTest (lengths: readonly number[], producedTokens: number, maxTokens?: number): number {
  return Math.round(createStatistics(lengths).getDistribution('s', 'w').estimateRemaining(producedTokens, maxTokens))
}

describe('OutputLengths', () => {
  it('expects about the mean of what it has seen', () => expect(doTest([100], 0)).toMatchInlineSnapshot('229'))
  it('expects the rest of a long answer once the short ones are ruled out', () => expect(doTest([20, 1000], 100)).toMatchInlineSnapshot('903'))
  it('expects more of an answer that is longer than any before', () => expect(doTest([100], 5000)).toBeGreaterThan(500))
  it('expects nothing beyond the bound of the caller', () => expect(doTest([1000], 0, 10)).toBeLessThanOrEqual(10))
  it('expects nothing at the bound', () => expect(doTest([1000], 10, 10)).toBe(0))

  it('uses a broad prior while nothing is known', () => {
    expect(Math.round(OutputLengthStatistics.create().getDistribution('s', 'w').estimateRemaining(0))).toMatchInlineSnapshot('817')
  })

  it('uses the lengths of the service for a workspace that is new', () => {
    const statistics = createStatistics([100], 'other')
    expect(statistics.getDistribution('s', 'w')).toBe(statistics.getDistribution('s', 'another'))
  })

  it('uses the own lengths of a workspace that is known', () => {
    const statistics = createStatistics([100], 'a')
    for (let index = 0; index < 50; index++) statistics.observeLength('s', 'b', 1000)
    const [short, long] = ['a', 'b'].map(workspace => statistics.getDistribution('s', workspace).estimateRemaining(0)) as [number, number]
    expect(long).toBeGreaterThan(short * 3)
  })

  it('hands over what it has learned', () => {
    const empty = OutputLengthStatistics.create()
    empty.importHistograms(createStatistics([100]).encodeHistograms())
    const ratio = empty.getDistribution('s', 'w').estimateRemaining(0) / createStatistics([100]).getDistribution('s', 'w').estimateRemaining(0)
    expect(Math.abs(ratio - 1)).toBeLessThan(0.05)
  })

  it('keeps its own lengths against those of a peer', () => {
    const own = createStatistics([100])
    const before = own.getDistribution('s', 'w')
    own.importHistograms(createStatistics([5000]).encodeHistograms())
    expect(own.getDistribution('s', 'w')).toBe(before)
  })

  it('passes over what it cannot decode', () => {
    const empty = OutputLengthStatistics.create()
    empty.importHistograms({ 's\u0000': 'garbage' })
    expect(empty.encodeHistograms()).toEqual({})
  })
})
