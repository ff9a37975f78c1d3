import { AccountedBuffer, BufferBudget } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { classifyCallAnswer } from '../../src/calls/classifyCallAnswer.js'

function createBuffer (maxBytes?: number): AccountedBuffer {
  return AccountedBuffer.create({ bufferBudget: BufferBudget.create({ maxBytes }), owner: { kind: 'targetAnswer' }, handleDrop: () => undefined })
}

function doTest (status: number, isSigned: boolean, buffer = createBuffer()): string {
  return classifyCallAnswer({ kind: 'answer', head: { status, headers: [], isSigned, isFramed: true, isEventStream: false }, buffer, isComplete: true })
}

describe('classifyCallAnswer', () => {
  it('uses signed answers, unless their status tells that the request has not run', () => {
    const answers = [200, 299, 300, 404, 408, 429, 499, 500, 502, 503, 504].map(status => `${status} signed: ${doTest(status, true)}, unsigned: ${doTest(status, false)}`)
    expect(answers).toMatchInlineSnapshot(`
      [
        "200 signed: good, unsigned: lost",
        "299 signed: good, unsigned: lost",
        "300 signed: good, unsigned: lost",
        "404 signed: good, unsigned: lost",
        "408 signed: lost, unsigned: lost",
        "429 signed: lost, unsigned: lost",
        "499 signed: good, unsigned: lost",
        "500 signed: failed, unsigned: lost",
        "502 signed: failed, unsigned: lost",
        "503 signed: lost, unsigned: lost",
        "504 signed: failed, unsigned: lost",
      ]
    `)
  })

  it('counts an answer whose bytes were dropped as lost', () => {
    const buffer = createBuffer(1)
    buffer.addBytes(Buffer.alloc(2))
    expect(doTest(200, true, buffer)).toBe('lost')
  })

  it('returns the error of an attempt without an answer', () => {
    expect(classifyCallAnswer({ kind: 'error', error: 'notHere' })).toBe('notHere')
  })
})
