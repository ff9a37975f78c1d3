import { type Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createRequest, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'

type Act = (dependencies: TestDependencies) => Promise<Result<unknown, unknown> | undefined>

const [a, b] = ['a', 'b'].map(name => createTarget(name)) as [ReturnType<typeof createTarget>, ReturnType<typeof createTarget>]

const sendRequest: Act = async ({ gateway }) => await gateway.sendRequest(a, { request: createRequest(), remainingMs: 900, needsFreshConnection: false, signal: new AbortController().signal }).head
const copyFrom: Act = async ({ gateway }) => await gateway.copyRun({ requestId: 'q1', from: a, to: b, isLast: true, timeoutMs: 100 })
const copyTo: Act = async ({ gateway }) => await gateway.copyRun({ requestId: 'q1', from: b, to: a, isLast: true, timeoutMs: 100 })
const dropCopy: Act = async ({ gateway }) => {
  await gateway.dropCopy(a, 'h', 100)
  return undefined
}
const takeHold: Act = async ({ gateway }) => await gateway.takeHold({ target: a, tokens: 1, ttlMs: 100, timeoutMs: 100 })
const dropHold: Act = async ({ gateway }) => {
  await gateway.dropHold(a, 'h', 100)
  return undefined
}
const fetchReport: Act = async ({ gateway }) => await gateway.fetchReport(a, 100)

/** Acts while target a is closed for some time, and returns what reached the targets and the error. */
async function doTest (act: Act, { waitMs = 0 } = {}): Promise<{ sent: number, error: unknown }> {
  const dependencies = createTestDependencies()
  const { client, clock } = dependencies
  client.scripts.set('a', [{}])
  client.notifyNotices(a, [{ kind: 'backoff', durationMs: 1000, text: '1' }])
  clock.jump(waitMs)
  const result = await act(dependencies)
  const sent = client.attempts.length + client.copies.length + client.dropped.length + client.holdCalls.length + client.droppedHolds.length + client.polledTargets.length
  return { sent, error: result?.isErr === true ? result.error : undefined }
}

describe('TargetGateway', () => {
  it.each([
    ['a request', sendRequest, 'notSent'],
    ['a copy from it', copyFrom, { reason: 'closed', cause: 'the target wants no requests yet' }],
    ['a copy to it', copyTo, { reason: 'closed', cause: 'the target wants no requests yet' }],
    ['the end of a copy', dropCopy, undefined],
    ['a call for a reservation', takeHold, 'closed'],
    ['the end of a reservation', dropHold, undefined],
    ['a request for its report', fetchReport, 'the target wants no requests yet']
  ])('does not send %s to a closed target', async (_name, act, error) => expect(await doTest(act)).toEqual({ sent: 0, error }))

  it.each([['a request', sendRequest], ['a copy from it', copyFrom], ['a copy to it', copyTo], ['the end of a copy', dropCopy], ['a call for a reservation', takeHold], ['the end of a reservation', dropHold], ['a request for its report', fetchReport]])(
    'sends %s once the target is open', async (_name, act) => expect((await doTest(act, { waitMs: 1000 })).sent).toBe(1)
  )

  it('asks again when the connection is ready, since the target may have closed meanwhile', async () => {
    const dependencies = createTestDependencies()
    await sendRequest(dependencies)
    const mayStart = dependencies.client.attempts[0]!.options.mayStart!
    const before = mayStart()
    dependencies.client.notifyNotices(a, [{ kind: 'backoff', durationMs: 1000, text: '1' }])
    expect([before, mayStart()]).toEqual([true, false])
  })
})
