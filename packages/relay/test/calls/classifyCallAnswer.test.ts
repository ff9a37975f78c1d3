import { describe, expect, it } from 'vitest'
import { classifyCallAnswer } from '../../src/calls/classifyCallAnswer.js'

function doTest (status: number, isSigned: boolean): string {
  return classifyCallAnswer({ kind: 'answer', head: { status, headers: [], isSigned, isFramed: true, isEventStream: false }, chunks: [], isComplete: true })
}

describe('classifyCallAnswer', () => {
  it('uses the status, and the signature of an answer that is no failure', () => {
    const answers = [200, 299, 300, 404, 499, 500, 503].map(status => `${status} signed: ${doTest(status, true)}, unsigned: ${doTest(status, false)}`)
    expect(answers).toMatchInlineSnapshot(`
      [
        "200 signed: good, unsigned: lost",
        "299 signed: good, unsigned: lost",
        "300 signed: good, unsigned: lost",
        "404 signed: good, unsigned: lost",
        "499 signed: good, unsigned: lost",
        "500 signed: failed, unsigned: failed",
        "503 signed: failed, unsigned: failed",
      ]
    `)
  })

  it('returns the error of an attempt without an answer', () => {
    expect(classifyCallAnswer({ kind: 'error', error: 'notHere' })).toBe('notHere')
  })
})
