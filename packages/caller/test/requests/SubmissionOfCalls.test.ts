import { Agent, buildConnector } from 'undici'
import { describe, expect, it } from 'vitest'
import { type Scripts, type ScriptStep } from '../support/FakeInstance.js'
import { callOnce, createAcceptedEvent, createCompleteEvent, createHttpError, doCallerTest } from '../support/doCallerTest.js'

async function doTest (scripts: readonly Scripts[]): Promise<string[]> {
  return await doCallerTest({ scripts }, callOnce)
}

const REPLY = { type: 'reply', status: 200, body: 'done' } as const
const COMPLETE_REPLY = [createAcceptedEvent('whole'), REPLY, createCompleteEvent()] as const
const OWNER_UNREACHABLE: readonly ScriptStep[] = [{ type: 'end', outcome: 'unknown', reason: 'ownerUnreachable' }]
const OWNER_RESTARTED: readonly ScriptStep[] = [{ type: 'end', outcome: 'unknown', reason: 'ownerRestarted' }]

describe('Submission of a call', () => {
  it('repeats a call only under the same request id', async () => {
    expect(await doTest([{ 'PUT requests': [[createAcceptedEvent('whole'), 'disconnect'], ['disconnect'], COMPLETE_REPLY] }, { 'PUT requests': [['disconnect']] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=0",
        "b: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('submits a call to another owner when the connection is refused', async () => {
    const callerOptions = { createDispatcher: () => new Agent({ pipelining: 0 }) }
    const scripts = [{ 'PUT requests': [COMPLETE_REPLY] }, { 'PUT requests': [COMPLETE_REPLY] }]
    expect(await doCallerTest({ scripts, callerOptions }, async test => {
      await callOnce(test)
      await test.fakeInstances[0]?.stop()
      return await callOnce(test)
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('submits a call to another owner when no connection is established, whatever the error', async () => {
    const connectSocket = buildConnector({})
    let failingPort = ''
    const createDispatcher = (): Agent => new Agent({
      pipelining: 0,
      connect: (options, callback) => {
        if (options.port === failingPort) callback(new Error('connection failed'), null)
        else connectSocket(options, callback)
      }
    })
    const scripts = [{ 'PUT requests': [COMPLETE_REPLY] }, { 'PUT requests': [COMPLETE_REPLY] }]
    expect(await doCallerTest({ scripts, callerOptions: { createDispatcher } }, async test => {
      await callOnce(test)
      failingPort = new URL(test.fakeInstances[0]?.url ?? '').port
      return await callOnce(test)
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('submits a call to another owner when its only attempt reached a restarted owner', async () => {
    expect(await doTest([{ 'PUT requests': [OWNER_RESTARTED] }, { 'PUT requests': [COMPLETE_REPLY] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('reports a call as unknown when the owner restarted after an earlier attempt may have arrived', async () => {
    expect(await doTest([{ 'PUT requests': [['disconnect'], OWNER_RESTARTED] }, { 'PUT requests': [COMPLETE_REPLY] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=0",
        "unknown ownerRestarted: ",
      ]
    `)
  })

  it('reports a call as unknown when its owner is lost', async () => {
    expect(await doTest([{ 'PUT requests': [['stop']] }, { 'PUT requests': [OWNER_UNREACHABLE] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: PUT /requests/A/1?offset=0",
        "b: PUT /requests/A/1?offset=0",
        "unknown ownerUnreachable: connect ECONNREFUSED HOST",
      ]
    `)
  })

  it('reports a call as unknown when a repeated attempt is rejected', async () => {
    expect(await doTest([{ 'PUT requests': [['disconnect'], createHttpError(413, 'tooLarge')] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=0",
        "unknown tooLarge: tooLarge",
      ]
    `)
  })

  it('returns a final outcome immediately', async () => {
    const end = { type: 'end', outcome: 'unknown', reason: 'replyLost', detail: 'the reply was lost' } as const
    expect(await doTest([{ 'PUT requests': [[createAcceptedEvent(), end]] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "unknown replyLost: the reply was lost",
      ]
    `)
  })

  it('reports invalid input as not run', async () => {
    expect(await doTest([{ 'PUT requests': [createHttpError(400, 'invalidInput')] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "notRun invalidInput: invalidInput",
      ]
    `)
  })

  it('sends no further requests to an owner that does not respond', async () => {
    const scripts = [{ 'PUT requests': [['disconnect'], ['disconnect']] }, { 'PUT requests': [COMPLETE_REPLY] }] as const
    expect(await doCallerTest({ scripts }, async test => {
      await callOnce(test)
      return await callOnce(test)
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/1?offset=0",
        "b: PUT /requests/A/1?offset=0",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('aborts an attempt that continues after the deadline', async () => {
    const scripts = [{ 'PUT requests': [[createAcceptedEvent('whole'), 'stall']] }] as const
    expect(await doCallerTest({ scripts, callerOptions: { silenceMs: 600_000 } }, async ({ caller, clock, waitForStall }) => {
      const answer = caller.call({ service: 's', body: 1, deadlineMs: 2000 })
      await waitForStall()
      clock.advanceWithoutTimers(2500)
      clock.runTimers()
      return await answer.wait()
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "unknown deadlineExceeded: aborted by the caller",
      ]
    `)
  })
})
