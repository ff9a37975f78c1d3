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

describe('OutputLengthStatistics', () => {
  it('estimates about the mean of the recorded lengths, blended with the prior', () => expect(doTest([100], 0)).toMatchInlineSnapshot('229'))
  it('estimates the remainder of a long output once short ones are excluded', () => expect(doTest([20, 1000], 100)).toMatchInlineSnapshot('903'))
  it('estimates more tokens for an output that is longer than any recorded one', () => expect(doTest([100], 5000)).toBeGreaterThan(500))
  it('does not estimate more than the maximum set by the caller', () => expect(doTest([1000], 0, 10)).toBeLessThanOrEqual(10))
  it('estimates 0 at the maximum length', () => expect(doTest([1000], 10, 10)).toBe(0))

  it('uses a broad prior without samples', () => {
    expect(Math.round(OutputLengthStatistics.create().getDistribution('s', 'w').estimateRemaining(0))).toMatchInlineSnapshot('817')
  })

  it('uses the lengths of the service for a workspace without samples', () => {
    const statistics = createStatistics([100], 'other')
    expect(statistics.getDistribution('s', 'w')).toBe(statistics.getDistribution('s', 'another'))
  })

  it('uses the lengths of a workspace that has enough samples', () => {
    const statistics = createStatistics([100], 'a')
    for (let index = 0; index < 50; index++) statistics.observeLength('s', 'b', 1000)
    const [short, long] = ['a', 'b'].map(workspace => statistics.getDistribution('s', workspace).estimateRemaining(0)) as [number, number]
    expect(long).toBeGreaterThan(short * 3)
  })

  it('transfers its histograms to another instance', () => {
    const empty = OutputLengthStatistics.create()
    empty.importHistograms(createStatistics([100]).encodeHistograms())
    const ratio = empty.getDistribution('s', 'w').estimateRemaining(0) / createStatistics([100]).getDistribution('s', 'w').estimateRemaining(0)
    expect(Math.abs(ratio - 1)).toBeLessThan(0.05)
  })

  it('does not replace its own lengths by those of a peer', () => {
    const local = createStatistics([100])
    const before = local.getDistribution('s', 'w')
    local.importHistograms(createStatistics([5000]).encodeHistograms())
    expect(local.getDistribution('s', 'w')).toBe(before)
  })

  it('ignores a histogram that cannot be decoded', () => {
    const empty = OutputLengthStatistics.create()
    empty.importHistograms({ 's\u0000': 'garbage' })
    expect(empty.encodeHistograms()).toEqual({})
  })
})
