import { describe, expect, it } from 'vitest'
import { type AnswerResult } from '../../src/index.js'
import { type Scripts, type ScriptStep } from '../support/FakeInstance.js'
import { type CallerScenario, type CallerTest, createAcceptedEvent, createCompleteEvent, createGenerationEvent, createTokensEvent, doCallerTest } from '../support/doCallerTest.js'

async function doTest (scripts: readonly Scripts[], run: CallerScenario): Promise<string[]> {
  return await doCallerTest({ scripts }, run)
}

const FIRST_EVENTS: readonly ScriptStep[] = [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 0, 'x')]
const CANCELLED: readonly ScriptStep[] = [{ status: 200, body: { type: 'end', outcome: 'cancelled', reason: 'cancelledByCaller' } }]
const UNREACHABLE: readonly ScriptStep[] = [{ status: 200, body: { type: 'end', outcome: 'unknown', reason: 'ownerUnreachable' } }]
const RESTARTED: readonly ScriptStep[] = [{ status: 200, body: { type: 'end', outcome: 'unknown', reason: 'ownerRestarted' } }]
const COMPLETE: readonly ScriptStep[] = [{ status: 200, body: { type: 'end', outcome: 'complete', reason: 'finished' } }]

async function cancelGeneration ({ caller, waitForStall }: CallerTest): Promise<AnswerResult> {
  const answer = caller.generate({ service: 's', prompt: 'p' })
  await waitForStall()
  await answer[Symbol.asyncIterator]().next()
  answer.cancel()
  return await answer.wait()
}

async function cancelCall ({ caller, waitForStall }: CallerTest): Promise<AnswerResult> {
  const answer = caller.call({ service: 's', body: 1 })
  await waitForStall()
  answer.cancel()
  return await answer.wait()
}

describe('cancelSubmission', () => {
  it('cancels a generation at its owner', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stall']], 'DELETE requests': [CANCELLED] }], cancelGeneration)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: DELETE /requests/A/1",
        "cancelled cancelledByCaller: ",
      ]
    `)
  })

  it('does not send a request that is cancelled immediately', async () => {
    expect(await doTest([{}], async ({ caller }) => {
      const answer = caller.generate({ service: 's', prompt: 'p' })
      answer.cancel()
      return await answer.wait()
    })).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "cancelled cancelledByCaller: the request was not sent",
      ]
    `)
  })

  it('returns the answer if the request was already complete', async () => {
    expect(await doTest([{
      'PUT requests': [[...FIRST_EVENTS, 'stall'], [createAcceptedEvent(), createGenerationEvent('g'), createTokensEvent('g', 1, 'y'), createCompleteEvent(2)]],
      'DELETE requests': [COMPLETE]
    }], cancelGeneration)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: DELETE /requests/A/1",
        "a: PUT /requests/A/1?offset=1",
        "complete finished: x y",
      ]
    `)
  })

  it('cancels a generation through another instance when its owner has restarted', async () => {
    expect(await doTest([{ 'PUT requests': [[...FIRST_EVENTS, 'stall']], 'DELETE requests': [RESTARTED] }, {}], cancelGeneration)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: DELETE /requests/A/1",
        "b: DELETE /resumes/token-g",
        "cancelled cancelledByCaller: the owner of the request could not be reached",
      ]
    `)
  })

  it('reports a cancelled call as unknown when its owner is lost', async () => {
    expect(await doTest([
      { 'PUT requests': [[createAcceptedEvent('whole'), 'stall']], 'DELETE requests': [['stop']] },
      { 'DELETE requests': [UNREACHABLE] }
    ], cancelCall)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: DELETE /requests/A/1",
        "b: DELETE /requests/A/1",
        "b: DELETE /requests/A/1",
        "b: DELETE /requests/A/1",
        "b: DELETE /requests/A/1",
        "b: DELETE /requests/A/1",
        "b: DELETE /requests/A/1",
        "unknown ownerUnreachable: the owner of the request could not be reached",
      ]
    `)
  })

  it('reports a cancelled call that has not run as not run', async () => {
    const notRun: readonly ScriptStep[] = [{ status: 200, body: { type: 'end', outcome: 'notRun', reason: 'cancelledByCaller' } }]
    expect(await doTest([{ 'PUT requests': [['stall']], 'DELETE requests': [notRun] }], cancelCall)).toMatchInlineSnapshot(`
      [
        "a: POST /leases",
        "a: PUT /requests/A/1?offset=0",
        "a: DELETE /requests/A/1",
        "notRun cancelledByCaller: ",
      ]
    `)
  })
})
