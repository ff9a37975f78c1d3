import { VirtualClock, type PeerTransport } from '@fescuespoke/common'
import { type CreditAnswer } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createEmptyProfile } from '../../src/admission/MemoryProfile.js'
import { CreditClient } from '../../src/credits/CreditClient.js'

const ANSWER: CreditAnswer = { type: 'creditAnswer', target: 't', tokens: 1000, sequences: 2, validForMs: 1500, totalTokens: 4000, totalSequences: 9 }
const DEMAND = { profile: createEmptyProfile(), heldSequences: 0, requestedTokens: 500, requestedSequences: 1 }

async function doTest (latencyMs: number, isAnswered: boolean, waitMs: number): Promise<string> {
  const clock = VirtualClock.create()
  const transport: PeerTransport = {
    request: async () => {
      await clock.sleep(latencyMs)
      return (isAnswered ? Result.ok(ANSWER) : Result.err('timeout')) as never
    },
    setHandler: () => {}
  }
  const client = CreditClient.create({ clock, transport, instance: 'me', answerLocally: () => ({ ...ANSWER, tokens: 7 }), handleExchangeEnd: () => {} })
  client.requestCredit('t', 'peer', DEMAND, 5)
  await clock.advance(waitMs)
  const { tokens, sequences } = client.getLimit('t')
  return `${tokens}/${sequences}${client.isBypassed('t') ? ' bypassed' : ''}${client.isPending('t') ? ' pending' : ''}`
}

describe('CreditClient', () => {
  it('has a zero limit before the answer', async () => expect(await doTest(100, true, 50)).toBe('0/0 pending'))
  it('has the granted limit after the answer', async () => expect(await doTest(100, true, 100)).toBe('1000/2'))
  it('counts the validity of a credit from the request', async () => expect(await doTest(100, true, 1501)).toBe('0/0'))
  it('bypasses a coordinator that does not answer', async () => expect(await doTest(5, false, 10)).toBe('0/0 bypassed'))
  it('ends the bypass after a while', async () => expect(await doTest(5, false, 600)).toBe('0/0'))

  it('answers its own request without a message when it coordinates the target', async () => {
    const transport: PeerTransport = { request: () => { throw new Error('unexpected message') }, setHandler: () => {} }
    const client = CreditClient.create({ clock: VirtualClock.create(), transport, instance: 'me', answerLocally: () => ANSWER, handleExchangeEnd: () => {} })
    await client.requestCredit('t', 'me', DEMAND, 5)
    expect(client.getLimit('t').tokens).toBe(1000)
  })
})
