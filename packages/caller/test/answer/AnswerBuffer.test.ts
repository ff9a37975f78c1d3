import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createAcceptedEvent, createCompleteEvent, createGenerationEvent, createTokensEvent, doCallerTest } from '../support/doCallerTest.js'
import { type ScriptStep } from '../support/FakeInstance.js'

const TOKENS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'] as const

const chunk = fc.tuple(fc.nat(TOKENS.length), fc.nat(TOKENS.length)).map(([from, to]) => createTokensEvent('g', from, ...TOKENS.slice(from, to)))
const staleChunk = chunk.map(event => ({ ...event, generation: 'late' }))
const fault = fc.constantFrom<ScriptStep>('disconnect', 'malformedLine', { status: 503, body: { error: 'notReady', message: '' } })
const stream = fc.tuple(fc.array(fc.oneof(chunk, staleChunk), { maxLength: 4 }), fault)

/** Reads an answer whose first streams repeat, skip, delay and lose tokens, followed by a complete stream. */
async function doTest (streams: ReadonlyArray<readonly [readonly ScriptStep[], ScriptStep]>): Promise<string[]> {
  const interruptedStreams = streams.map(([events, end]) => [createAcceptedEvent(), createGenerationEvent('g'), ...events, end])
  const completeStream = [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 0, ...TOKENS), createCompleteEvent(TOKENS.length)]
  const receivedTokens: string[] = []
  await doCallerTest({ scripts: [{ 'PUT requests': [...interruptedStreams, completeStream] }], callerOptions: { maxAttempts: 50 } }, async ({ caller }) => {
    for await (const token of caller.generate({ service: 's', prompt: 'p' })) receivedTokens.push(token)
    return receivedTokens
  })
  return receivedTokens
}

describe('AnswerBuffer', () => {
  it('delivers each token once and in order for any sequence of interrupted streams', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stream, { maxLength: 6 }), async streams => {
      expect(await doTest(streams)).toEqual(TOKENS)
    }), { seed: 7, numRuns: 40 })
  })
})
