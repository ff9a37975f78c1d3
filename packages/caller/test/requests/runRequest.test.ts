import { describe, expect, it } from 'vitest'
import { type CallerOptions } from '../../src/index.js'
import { type Scripts, type ScriptStep } from '../support/FakeInstance.js'
import { callOnce, type CallerScenario, createAcceptedEvent, createCompleteEvent, createHttpError, describeResult, doCallerTest } from '../support/doCallerTest.js'

async function doTest (scripts: readonly Scripts[], run: CallerScenario = callOnce, callerOptions?: Partial<CallerOptions>): Promise<string[]> {
  return await doCallerTest({ scripts, callerOptions }, run)
}

const COMPLETE_REPLY: readonly ScriptStep[] = [createAcceptedEvent('whole'), { type: 'reply', status: 200, body: 'done' }, createCompleteEvent()]
const QUEUE_FULL: readonly ScriptStep[] = [{ type: 'end', outcome: 'notRun', reason: 'queueFull', retryAfterMs: 500, detail: 'the queue is full' }]
const DRAINING: readonly ScriptStep[] = [{ type: 'end', outcome: 'notRun', reason: 'draining' }]

describe('runRequest', () => {
  it('requests a lease from another instance when the first one is draining', async () => {
    expect(await doTest([{ 'POST leases': [createHttpError(503, 'draining')] }, { 'PUT requests': [COMPLETE_REPLY] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('submits the request to another owner when the owner is draining', async () => {
    expect(await doTest([{ 'PUT requests': [DRAINING] }, { 'PUT requests': [COMPLETE_REPLY] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('submits the request to another owner when the owner rejects it with an HTTP error', async () => {
    expect(await doTest([{ 'PUT requests': [createHttpError(503, 'notReady')] }, { 'PUT requests': [COMPLETE_REPLY] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "b: POST /leases",
        "b: PUT /requests/B/1?offset=0",
        "complete finished: {"status":200,"body":"done"}",
      ]
    `)
  })

  it('waits for the retry delay stated by an overloaded owner', async () => {
    expect(await doTest([{ 'PUT requests': [QUEUE_FULL, COMPLETE_REPLY] }], async test => {
      const result = await callOnce(test)
      return [describeResult(result), `waited ${test.clock.nowMs()} ms`]
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/2?offset=0",
        "complete finished: {"status":200,"body":"done"}",
        "waited 500 ms",
      ]
    `)
  })

  it('limits the submissions of one request', async () => {
    expect(await doTest([{ 'PUT requests': [QUEUE_FULL] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/2?offset=0",
        "a: PUT /requests/A/3?offset=0",
        "a: PUT /requests/A/4?offset=0",
        "notRun queueFull: the queue is full",
      ]
    `)
  })

  it('limits retries across all requests under overload', async () => {
    expect(await doTest([{ 'PUT requests': [QUEUE_FULL] }], async test => {
      await callOnce(test)
      await callOnce(test)
      return await callOnce(test)
    }, { retryBurst: 1, retryRatio: 0.5 })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: PUT /requests/A/2?offset=0",
        "a: PUT /requests/A/3?offset=0",
        "a: PUT /requests/A/4?offset=0",
        "a: PUT /requests/A/5?offset=0",
        "notRun queueFull: the queue is full",
      ]
    `)
  })

  it('does not retry after the deadline', async () => {
    expect(await doTest([{ 'PUT requests': [QUEUE_FULL] }], async ({ caller }) => {
      return await caller.call({ service: 's', body: 1, deadlineMs: 400 }).wait()
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "notRun queueFull: the queue is full",
      ]
    `)
  })

  it('reports a request as not run when no instance grants a lease', async () => {
    expect(await doTest([{ 'POST leases': [createHttpError(503, 'notReady')] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: POST /leases",
        "a: POST /leases",
        "a: POST /leases",
        "notRun notReady: no lease was granted: notReady",
      ]
    `)
  })

  it('does not retry when the workspace is forbidden', async () => {
    expect(await doTest([{ 'POST leases': [createHttpError(403, 'forbidden')] }])).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "notRun forbidden: no lease was granted: forbidden",
      ]
    `)
  })

  it('reports a request as not run when no instance responds', async () => {
    expect(await doTest([{}], async ({ caller, fakeInstances }) => {
      await fakeInstances[0]?.stop()
      return await caller.call({ service: 's', body: 1 }).wait()
    })).toMatchInlineSnapshot(`
      [
        "notRun ownerUnreachable: no lease was granted: no address is available",
      ]
    `)
  })
})
