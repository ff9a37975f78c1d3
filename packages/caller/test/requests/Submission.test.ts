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

/** Takes the first token, lets the stream fall silent, and reads on. */
async function readAcrossStall ({ caller, clock, waitForStall }: CallerTest): Promise<string[]> {
  const answer = caller.generate({ service: 's', prompt: 'p' })
  const tokens = answer[Symbol.asyncIterator]()
  const readTokens = [(await tokens.next()).value, (await tokens.next()).value]
  await waitForStall()
  clock.runTimers()
  for (let next = await tokens.next(); next.done !== true; next = await tokens.next()) readTokens.push(next.value)
  return [`read ${readTokens.join(' ')}`, describeResult(await answer.wait())]
}

describe('Submission', () => {
  it('resumes by offset at the owner after a cut', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'disconnect'], REMAINING_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "complete finished: x y z",
      ]
    `)
  })

  it('resumes by offset after a stream that ends without an end event', async () => {
    expect(await doTest([{ 'PUT requests': [FIRST_EVENTS, REMAINING_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "complete finished: x y z",
      ]
    `)
  })

  it('gives up a silent connection and resumes on a new one', async () => {
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

  it('gives up a connection that is silent from the start', async () => {
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

  it('resumes after an unreadable event', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'malformedLine'], REMAINING_EVENTS] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "complete finished: x y z",
      ]
    `)
  })

  it('drops tokens that it has already', async () => {
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

  it('asks again for tokens that are missing', async () => {
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

  it('asks again for tokens that are missing at the end', async () => {
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

  it('ignores late tokens of a generation that was replaced', async () => {
    const replaced = [...FIRST_EVENTS, createGenerationEvent('h'), createTokensEvent('g', 2, 'late'), createTokensEvent('h', 0, 'n'), createCompleteEvent(1)]
    expect(await doTest([{ 'PUT requests': [replaced] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "complete finished: n",
      ]
    `)
  })

  it('never splices two generations', async () => {
    const other = [createAcceptedEvent(), createGenerationEvent('h'), createTokensEvent('h', 2, 'z'), createCompleteEvent(3)]
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stall'], other] }], readAcrossStall)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=2",
        "read x y",
        "failed generationLost: another generation followed delivered tokens",
      ]
    `)
  })

  it('goes through another instance when the owner does not answer before it names a generation', async () => {
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

  it('resumes past the owner when it does not answer', async () => {
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

  it('goes through another instance to the owner when it cannot resume past it', async () => {
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

  it('keeps trying while neither owner nor engine can be reached', async () => {
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

  it('resumes past an owner that has restarted', async () => {
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

  it('resumes through another instance when the owner hands its generations over', async () => {
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

  it('starts a lost generation anew while nothing was delivered', async () => {
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

  it('starts anew under a lease of another owner when owner and generation are lost', async () => {
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

  it('fails a lost generation of which something was delivered', async () => {
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
