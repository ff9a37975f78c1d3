import { type AnswerResult } from '@fescuespoke/caller'
import { describe, expect, it } from 'vitest'
import { ResultChecker } from '../../src/demo/ResultChecker.js'

const NOT_RUN: AnswerResult = { outcome: 'notRun', reason: 'overloaded', detail: '' }

function createCompleteResult (...tokens: string[]): AnswerResult {
  return { outcome: 'complete', reason: 'finished', tokens }
}

function doTest (arrange: (checker: ResultChecker) => void, executed: string[] = []): [number, number] {
  const checker = ResultChecker.create()
  arrange(checker)
  const { broken, doubled } = checker.computeCounts(executed)
  return [broken, doubled]
}

describe('ResultChecker', () => {
  it('accepts a complete generation', () => {
    expect(doTest(checker => checker.recordGeneration(createCompleteResult('g:0', 'g:1'), 2))).toEqual([0, 0])
  })

  it('reports a complete answer with a missing token', () => {
    expect(doTest(checker => checker.recordGeneration(createCompleteResult('g:0'), 2))).toEqual([1, 0])
  })

  it('reports tokens of two generations in one answer', () => {
    expect(doTest(checker => checker.recordGeneration(createCompleteResult('g:0', 'h:1'), 2))).toEqual([1, 0])
  })

  it('reports a call that was executed although its outcome is notRun', () => {
    expect(doTest(checker => checker.recordCall('a', NOT_RUN), ['a'])).toEqual([1, 0])
  })

  it('reports a complete call that was not executed', () => {
    expect(doTest(checker => checker.recordCall('a', createCompleteResult()))).toEqual([1, 0])
  })

  it('counts a call that was executed twice', () => {
    expect(doTest(checker => checker.recordCall('a', createCompleteResult()), ['a', 'a'])).toEqual([0, 1])
  })
})
