import fc from 'fast-check'
import { describe, expect, it, vi } from 'vitest'
import { EventSplitter } from '../../src/requests/EventSplitter.js'

function doTest (...parts: string[]): { events: Array<string | undefined>, remainder: string } {
  const splitter = EventSplitter.create()
  const events = parts.flatMap(part => splitter.addBytes(Buffer.from(part)) ?? [])
  return { events: events.map(({ bytes, id }) => `${id ?? '-'}|${bytes.toString()}`), remainder: splitter.getRemainder().toString() }
}

describe('EventSplitter', () => {
  it('splits complete events', () => {
    expect(doTest('id: 1\ndata: a\n\nid: 2\ndata: b\n\n').events).toEqual(['1|id: 1\ndata: a\n\n', '2|id: 2\ndata: b\n\n'])
  })

  it('keeps an incomplete event', () => {
    expect(doTest('id: 1\ndata: a\n\nid: 2\nda')).toEqual({ events: ['1|id: 1\ndata: a\n\n'], remainder: 'id: 2\nda' })
  })

  it('reads an id that is not on the first line', () => {
    expect(doTest('x-version: 3\nid:7\ndata: a\n\n').events).toEqual(['7|x-version: 3\nid:7\ndata: a\n\n'])
  })

  it('accepts lines that end with carriage return and line feed', () => {
    expect(doTest('id: 1\r\ndata: a\r\n\r\nid: 2').events).toEqual(['1|id: 1\r\ndata: a\r\n\r\n'])
  })

  it('accepts an event without an id', () => {
    expect(doTest('data: id: 5\n\n').events).toEqual(['-|data: id: 5\n\n'])
  })

  it('tells events with data from others', () => {
    const events = ['data: a\n\n', 'id: 1\r\ndata:\r\n\r\n', 'data\n\n', ': data: a\n\n', 'id: 2\n\n', 'database: a\n\n', '\n\n']
    expect(events.map(event => EventSplitter.create().addBytes(Buffer.from(event))?.map(({ hasData }) => hasData))).toEqual([[true], [true], [true], [false], [false], [false], [false]])
  })

  it.each([
    [': x\n\n', true],
    [': x\r\n: y\r\n\r\n', true],
    ['\n\n', true],
    ['id: 1\n: x\n\n', false],
    [': x\nretry: 5\n\n', false],
    ['data: x\n\n', false],
    [`${': x\r\n'.repeat(5000)}x\n\n`, false]
  ])('tells comments from other events: %j', (event, isComment) => {
    expect(EventSplitter.create().addBytes(Buffer.from(event))?.map(parsed => parsed.isComment)).toEqual([isComment])
  })

  it.each([
    ['HTTP/1.1 500 Failed\r\nA: b\r\n\r\n', true],
    ['HTTP/1.0 200 \r\n\r\n', true],
    ['id: 2\ndaHTTP/1.1 500 Failed\r\nA: b\r\n\r\n', true],
    ['id: 2\ndata: abHTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n', true],
    ['id: 2\ndata: ab\nHTTP/1.1 500 Failed\r\n\r\n', true],
    ['id: 2\ndata: sends HTTP/1.1 500 Failed\ndata: A: b\n\n', false],
    ['id: 2\ndata: HTTP/1.1 500 Failed\nid: 3\n\n', false],
    ['data: HTTP/1.1 500 Failed\n\n', false]
  ])('recognises the head of another answer, and not text about one: %j', (event, hasAnswerHead) => {
    expect(EventSplitter.create().addBytes(Buffer.from(event))?.map(parsed => parsed.hasAnswerHead)).toEqual([hasAnswerHead])
  })

  it('rejects an event that exceeds the maximum size', () => {
    const splitter = EventSplitter.create()
    expect(splitter.addBytes(Buffer.alloc(1024 * 1024 + 1, 'a'))).toBeUndefined()
  })

  it('handles each byte of an event that arrives in small pieces a limited number of times', () => {
    const concat = vi.spyOn(Buffer, 'concat')
    const copy = vi.spyOn(Buffer.prototype, 'copy')
    const indexOf = vi.spyOn(Buffer.prototype, 'indexOf')
    const pieces = 400
    const piece = Buffer.from('data: x\n')
    const splitter = EventSplitter.create()
    for (let index = 0; index < pieces; index++) splitter.addBytes(piece)
    let movedBytes = 0
    for (const [buffers] of concat.mock.calls) for (const { length } of buffers) movedBytes += length
    for (const { value } of copy.mock.results) movedBytes += Number(value)
    expect(movedBytes).toBeLessThan(8 * pieces * piece.length)
    expect(indexOf.mock.calls.length).toBeLessThan(4 * pieces)
    expect(splitter.getRemainder().length).toBe(pieces * piece.length)
    vi.restoreAllMocks()
  })

  it('rejects an event without end that arrives in pieces', () => {
    const splitter = EventSplitter.create()
    const piece = Buffer.alloc(16 * 1024, 'a\n')
    let acceptedBytes = 0
    while (splitter.addBytes(piece) !== undefined) acceptedBytes += piece.length
    expect(acceptedBytes).toBe(1024 * 1024)
  })

  it('finds the same events regardless of how the bytes are split', () => {
    const event = fc.tuple(fc.nat(), fc.stringMatching(/^[a-z ]{0,20}$/)).map(([id, data]) => `id: ${id}\ndata: ${data}\n\n`)
    fc.assert(fc.property(fc.array(event), fc.array(fc.nat(200)), (events, cuts) => {
      const text = events.join('')
      const at = [0, ...cuts.map(cut => cut % (text.length + 1)).sort((a, b) => a - b), text.length]
      const parts = at.slice(1).map((end, index) => text.slice(at[index], end))
      expect(doTest(...parts).events.map(item => item?.slice(item.indexOf('|') + 1))).toEqual(events)
    }))
  })
})
