import { describe, expect, it } from 'vitest'
import { type Scripts } from './support/FakeInstance.js'
import {
  callOnce, type CallerScenario, createAcceptedEvent, createCompleteEvent, createGenerationEvent, createTokensEvent, doCallerTest, generateOnce, streamOnce
} from './support/doCallerTest.js'

async function doTest (scripts: readonly Scripts[], run?: CallerScenario): Promise<string[]> {
  return await doCallerTest({ scripts }, run)
}

const GENERATION_EVENTS = [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 0, 'x', 'y'), createTokensEvent('g', 2, 'z'), createCompleteEvent(3)]
const REPLY = { type: 'reply', status: 200, body: { gate: 'open' } } as const

describe('Caller', () => {
  it('returns the complete answer of a generation', async () => {
    expect(await doTest([{ 'PUT requests': [GENERATION_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "complete finished: x y z",
      ]
    `)
  })

  it('returns the reply of a call', async () => {
    const script = [createAcceptedEvent('whole'), REPLY, createCompleteEvent()]
    expect(await doTest([{ 'PUT requests': [script] }], callOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "complete finished: {"status":200,"body":{"gate":"open"}}",
      ]
    `)
  })

  it('yields tokens as they arrive', async () => {
    expect(await doTest([{ 'PUT requests': [GENERATION_EVENTS] }], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('uses one lease for several requests', async () => {
    expect(await doTest([{ 'PUT requests': [GENERATION_EVENTS] }], async test => {
      await Promise.all([generateOnce(test), generateOnce(test)])
      return await generateOnce(test)
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/2?offset=0",
        "a: PUT /requests/A/3?offset=0",
        "complete finished: x y z",
      ]
    `)
  })

  it('returns the id of the request for operators', async () => {
    expect(await doTest([{ 'PUT requests': [GENERATION_EVENTS] }], async test => {
      const { request } = await generateOnce(test)
      return [`request ${request}`]
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "request r",
      ]
    `)
  })

  it('yields no tokens of an answer with delivery `whole` until it is complete', async () => {
    const failedEvents = [createAcceptedEvent('whole'), createGenerationEvent('g'), createTokensEvent('g', 0, 'x'), { type: 'end', outcome: 'failed', reason: 'rejectedByTarget' } as const]
    expect(await doTest([{ 'PUT requests': [failedEvents] }], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "read ",
        "failed rejectedByTarget: ",
      ]
    `)
  })
})
