import { BufferBudget } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type AttemptHead } from '../../src/targets/RelayTargetClient.js'
import { HeldBackSink } from '../../src/requests/HeldBackSink.js'
import { FakeSink } from '../support/FakeSink.js'

const HEAD: AttemptHead = { status: 200, headers: [], isSigned: true, isFramed: true, isEventStream: true }

/** Writes parts of an answer and ends it; returns what the caller has before the end and after it. */
function doTest (parts: readonly string[], end: (sink: HeldBackSink) => void, maxBytes = 1_000_000): string[] {
  const caller = FakeSink.create()
  const sink = HeldBackSink.create({ sink: caller, budget: BufferBudget.create({ maxBytes }) })
  sink.writeHead(HEAD)
  for (const part of parts) sink.writeBytes(Buffer.from(part))
  const describeShortly = (): string => `${sink.mayRefuse() ? 'held' : 'passed on'}; ${caller.refusal === undefined ? `${caller.status ?? 'nothing'}, ${caller.text.length} bytes, ${caller.endState ?? 'open'}` : caller.describe()}`
  const before = describeShortly()
  end(sink)
  return [before, describeShortly()]
}

/** Guards against LOST: the caller of a stream that a stopping instance could not complete had a part of it. */
describe('an answer that is held back', () => {
  it('reaches its caller when it is complete', () => expect(doTest(['abc', 'de'], sink => sink.end())).toMatchInlineSnapshot(`
    [
      "held; nothing, 0 bytes, open",
      "passed on; 200, 5 bytes, complete",
    ]
  `))
  it('is replaced by a refusal when it breaks off', () => expect(doTest(['abc'], sink => sink.refuse({ status: 502, reason: 'lost' }))).toMatchInlineSnapshot(`
    [
      "held; nothing, 0 bytes, open",
      "held; 502 lost",
    ]
  `))
  it('is passed on once it is large, and can then be broken off only', () => expect(doTest(['a'.repeat(60_000), 'b'.repeat(10_000), 'c'], sink => sink.abort())).toMatchInlineSnapshot(`
    [
      "passed on; 200, 70001 bytes, open",
      "passed on; 200, 70001 bytes, brokenOff",
    ]
  `))
  it('needs no memory any more when its caller has left', () => {
    const budget = BufferBudget.create({ maxBytes: 100 })
    const caller = FakeSink.create()
    const sink = HeldBackSink.create({ sink: caller, budget })
    sink.writeHead(HEAD)
    sink.writeBytes(Buffer.from('abc'))
    const before = budget.getUsedBytes()
    caller.leave()
    expect([before, budget.getUsedBytes()]).toEqual([3, 0])
  })

  it('is passed on once all of them are large together', () => expect(doTest(['abc'], sink => sink.end(), 2)).toMatchInlineSnapshot(`
    [
      "passed on; 200, 3 bytes, open",
      "passed on; 200, 3 bytes, complete",
    ]
  `))
})
