import { describe, expect, it } from 'vitest'
import { type Scripts, type ScriptStep } from '../support/FakeInstance.js'
import {
  type CallerScenario, type CallerTest, createAcceptedEvent, createCompleteEvent, createGenerationEvent, createHttpError, createTokensEvent, describeResult,
  doCallerTest, streamOnce
} from '../support/doCallerTest.js'

async function doTest (scripts: readonly Scripts[], run?: CallerScenario): Promise<string[]> {
  return await doCallerTest({ scripts }, run)
}

const FIRST_EVENTS = [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 0, 'x', 'y')] as const
const REMAINING_EVENTS = [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 2, 'z'), createCompleteEvent(3)] as const
const OWNER_UNREACHABLE: readonly ScriptStep[] = [{ type: 'end', outcome: 'unknown', reason: 'ownerUnreachable' }]
const OWNER_RESTARTED: readonly ScriptStep[] = [{ type: 'end', outcome: 'unknown', reason: 'ownerRestarted' }]
const TARGET_LOST = { type: 'end', outcome: 'failed', reason: 'targetLost' } as const

/**
 * Reads the first two tokens, waits until the stream stalls, lets the idle timer expire, and reads the remaining
 * tokens.
 */
async function readAcrossStall ({ caller, clock, waitForStall }: CallerTest): Promise<string[]> {
  const answer = caller.generate({ service: 's', prompt: 'p' })
  const tokens = answer[Symbol.asyncIterator]()
  const receivedTokens = [(await tokens.next()).value, (await tokens.next()).value]
  await waitForStall()
  clock.runTimers()
  for (let next = await tokens.next(); next.done !== true; next = await tokens.next()) receivedTokens.push(next.value)
  return [`read ${receivedTokens.join(' ')}`, describeResult(await answer.wait())]
}

describe('Submission', () => {
  it('resumes at the offset reached after the connection to the owner is closed', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'disconnect'], REMAINING_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "complete finished: x y z",
      ]
    `)
  })

  it('resumes at the offset reached after a stream ends without an end event', async () => {
    expect(await doTest([{ 'PUT requests': [FIRST_EVENTS, REMAINING_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "complete finished: x y z",
      ]
    `)
  })

  it('aborts a stalled stream and resumes on a new connection', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stall'], REMAINING_EVENTS] }], readAcrossStall)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('aborts a request that receives no response and repeats it', async () => {
    expect(await doTest([{ 'PUT requests': [['stall'], [...FIRST_EVENTS, ...REMAINING_EVENTS.slice(2)]] }], async ({ caller, clock, waitForStall }) => {
      const answer = caller.generate({ service: 's', prompt: 'p' })
      await waitForStall()
      clock.runTimers()
      return await answer.wait()
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=0",
        "complete finished: x y z",
      ]
    `)
  })

  it('resumes after a malformed event', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'malformedLine'], REMAINING_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "complete finished: x y z",
      ]
    `)
  })

  it('drops tokens that it has already received', async () => {
    const script = [...FIRST_EVENTS, createTokensEvent('g', 0, 'x', 'y'), createTokensEvent('g', 1, 'y', 'z'), createCompleteEvent(3)]
    expect(await doTest([{ 'PUT requests': [script] }], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('requests missing tokens again', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, createTokensEvent('g', 3, '!')], REMAINING_EVENTS] }], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('requests tokens again that are missing at the end', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, createCompleteEvent(3)], REMAINING_EVENTS] }], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('ignores late tokens of a replaced generation', async () => {
    const replacedGenerationEvents = [...FIRST_EVENTS, createGenerationEvent('h'), createTokensEvent('g', 2, 'late'), createTokensEvent('h', 0, 'n'), createCompleteEvent(1)]
    expect(await doTest([{ 'PUT requests': [replacedGenerationEvents] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "complete finished: n",
      ]
    `)
  })

  it('never mixes the tokens of two generations', async () => {
    const otherGenerationEvents = [createAcceptedEvent(), createGenerationEvent('h'), createTokensEvent('h', 2, 'z'), createCompleteEvent(3)]
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stall'], otherGenerationEvents] }], readAcrossStall)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "read x y",
        "failed generationLost: another generation began after tokens had been delivered",
      ]
    `)
  })

  it('sends the request through another instance when the owner stops before it announces a generation', async () => {
    const answer = [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 0, 'x', 'y', 'z'), createCompleteEvent(3)]
    expect(await doTest([{ 'PUT requests': [[createAcceptedEvent(), 'stop']] }, { 'PUT requests': [answer] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: PUT /requests/A/1?offset=0",
        "complete finished: x y z",
      ]
    `)
  })

  it('resumes from the engine through another instance when the owner does not respond', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stop']] }, { 'POST resumes': [REMAINING_EVENTS] }], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /resumes resumeToken=token-g offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('reaches the owner through another instance when that instance cannot resume from the engine', async () => {
    expect(await doTest([
      { 'PUT requests': [[...FIRST_EVENTS, 'stop']] },
      { 'POST resumes': [createHttpError(503, 'notReady')], 'PUT requests': [REMAINING_EVENTS] }
    ], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /resumes resumeToken=token-g offset=2",
        "b: PUT /requests/A/1?offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('keeps retrying while neither the owner nor the engine is reachable', async () => {
    expect(await doTest([
      { 'PUT requests': [[...FIRST_EVENTS, 'stop']] },
      { 'POST resumes': [['disconnect'], ['disconnect'], REMAINING_EVENTS], 'PUT requests': [OWNER_UNREACHABLE] }
    ], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /resumes resumeToken=token-g offset=2",
        "b: PUT /requests/A/1?offset=2",
        "b: POST /resumes resumeToken=token-g offset=2",
        "b: PUT /requests/A/1?offset=2",
        "b: POST /resumes resumeToken=token-g offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('resumes from the engine when the owner has restarted', async () => {
    expect(await doTest([
      { 'PUT requests': [[...FIRST_EVENTS, 'disconnect'], OWNER_RESTARTED] },
      { 'POST resumes': [[...FIRST_EVENTS, 'disconnect'], REMAINING_EVENTS] }
    ], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "b: POST /resumes resumeToken=token-g offset=2",
        "b: POST /resumes resumeToken=token-g offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('resumes through another instance when the owner hands over its generations', async () => {
    expect(await doTest([
      { 'PUT requests': [[...FIRST_EVENTS, { type: 'handover' }]] },
      { 'POST resumes': [REMAINING_EVENTS] }
    ], streamOnce)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /resumes resumeToken=token-g offset=2",
        "read x y z",
        "complete finished: x y z",
      ]
    `)
  })

  it('restarts a lost generation if no token was delivered', async () => {
    expect(await doTest([
      { 'PUT requests': [[...FIRST_EVENTS, TARGET_LOST], [createAcceptedEvent(), createGenerationEvent('h'), createTokensEvent('h', 0, 'n'), createCompleteEvent(1)]] }
    ])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/2?offset=0 replaces=token-g",
        "complete finished: n",
      ]
    `)
  })

  it('restarts under a lease of another owner when the owner and the generation are lost', async () => {
    expect(await doTest([
      { 'PUT requests': [[...FIRST_EVENTS, 'stop']] },
      {
        'PUT requests': [[createAcceptedEvent(), createGenerationEvent('h'), createTokensEvent('h', 0, 'n'), createCompleteEvent(1)]],
        'POST resumes': [[createAcceptedEvent(), createGenerationEvent('g'), { type: 'end', outcome: 'failed', reason: 'generationLost' }]]
      }
    ])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /resumes resumeToken=token-g offset=2",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0 replaces=token-g",
        "complete finished: n",
      ]
    `)
  })

  it('fails a lost generation after tokens were delivered', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stall'], [...FIRST_EVENTS, TARGET_LOST]] }], readAcrossStall)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "read x y",
        "failed targetLost: ",
      ]
    `)
  })
})
