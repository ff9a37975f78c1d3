import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createAccepted, createComplete, createGeneration, createTokens, doCallerTest } from '../support/doCallerTest.js'
import { type Step } from '../support/FakeInstance.js'

const TOKENS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'] as const

const chunk = fc.tuple(fc.nat(TOKENS.length), fc.nat(TOKENS.length)).map(([from, to]) => createTokens('g', from, ...TOKENS.slice(from, to)))
const lateChunk = chunk.map(event => ({ ...event, generation: 'late' }))
const fault = fc.constantFrom<Step>('cut', 'garbage', { status: 503, body: { error: 'notReady', message: '' } })
const stream = fc.tuple(fc.array(fc.oneof(chunk, lateChunk), { maxLength: 4 }), fault)

/** Reads an answer whose streams repeat, skip, delay and lose tokens before one of them is whole. */
async function doTest (streams: ReadonlyArray<readonly [readonly Step[], Step]>): Promise<string[]> {
  const faulty = streams.map(([events, end]) => [createAccepted(), createGeneration('g'), ...events, end])
  const whole = [createAccepted(), createGeneration('g'), createTokens('g', 0, ...TOKENS), createComplete(TOKENS.length)]
  const read: string[] = []
  await doCallerTest({ scripts: [{ 'PUT requests': [...faulty, whole] }], callerOptions: { maxAttempts: 50 } }, async ({ caller }) => {
    for await (const token of caller.generate({ service: 's', prompt: 'p' })) read.push(token)
    return read
  })
  return read
}

describe('AnswerBuffer', () => {
  it('delivers each token once and in order, whatever the streams do', async () => {
    await fc.assert(fc.asyncProperty(fc.array(stream, { maxLength: 6 }), async streams => {
      expect(await doTest(streams)).toEqual(TOKENS)
    }), { seed: 7, numRuns: 40 })
  })
})
