import { type AnswerResult } from '@fescuespoke/caller'
import { describe, expect, it } from 'vitest'
import { Tally } from '../../src/demo/Tally.js'

const REFUSED: AnswerResult = { outcome: 'notRun', reason: 'overloaded', detail: '' }

function createComplete (...tokens: string[]): AnswerResult {
  return { outcome: 'complete', reason: 'finished', tokens }
}

function doTest (arrange: (tally: Tally) => void, ran: string[] = []): [number, number] {
  const tally = Tally.create()
  arrange(tally)
  const { broken, doubled } = tally.computeCounts(ran)
  return [broken, doubled]
}

describe('Tally', () => {
  it('accepts a whole generation', () => {
    expect(doTest(tally => tally.recordGeneration(createComplete('g:0', 'g:1'), 2))).toEqual([0, 0])
  })

  it('finds a cut answer', () => {
    expect(doTest(tally => tally.recordGeneration(createComplete('g:0'), 2))).toEqual([1, 0])
  })

  it('finds tokens of two generations in one answer', () => {
    expect(doTest(tally => tally.recordGeneration(createComplete('g:0', 'h:1'), 2))).toEqual([1, 0])
  })

  it('finds a refused call that ran', () => {
    expect(doTest(tally => tally.recordCall('a', REFUSED), ['a'])).toEqual([1, 0])
  })

  it('finds a complete call that did not run', () => {
    expect(doTest(tally => tally.recordCall('a', createComplete()))).toEqual([1, 0])
  })

  it('finds a call that ran twice', () => {
    expect(doTest(tally => tally.recordCall('a', createComplete()), ['a', 'a'])).toEqual([0, 1])
  })
})
