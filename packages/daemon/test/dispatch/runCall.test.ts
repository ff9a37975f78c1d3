import { describe, expect, it } from 'vitest'
import { Result } from 'true-myth'
import { type CallError, type CallReply } from '../../src/index.js'
import { createOwner, type Owner, formatEvents } from '../support/createOwner.js'

const REPLY = Result.ok<CallReply, CallError>({ status: 200, body: 'done' })
const LOST = Result.err<CallReply, CallError>('replyLost')
const NOT_SENT = Result.err<CallReply, CallError>('notSent')

async function doTest (service: string, arrange: (owner: Owner) => void): Promise<string[]> {
  const owner = createOwner()
  arrange(owner)
  const events = owner.submit(1, { service, body: { amount: 1 } })
  await owner.clock.advance(30_000)
  return [...formatEvents(events), ...owner.targetClient.log.map(line => `target: ${line}`)]
}

describe('runCall', () => {
  it('delivers a reply', async () => {
    expect(await doTest('charge', owner => owner.targetClient.calls.set('t1', [REPLY]))).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "reply 200 "done"",
        "end complete finished",
        "target: call i~n~1~1 at t1",
      ]
    `)
  })

  it('retries on another target when no byte was sent', async () => {
    expect(await doTest('charge', owner => {
      owner.targetClient.calls.set('t1', [NOT_SENT])
      owner.targetClient.calls.set('t2', [REPLY])
    })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "reply 200 "done"",
        "end complete finished",
        "target: call i~n~1~1 at t2",
      ]
    `)
  })

  it('does not retry a non-idempotent call whose reply is lost', async () => {
    expect(await doTest('charge', owner => {
      owner.targetClient.calls.set('t1', [LOST])
      owner.targetClient.calls.set('t2', [REPLY])
    })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end unknown replyLost",
        "target: call i~n~1~1 at t1",
      ]
    `)
  })

  it('retries an idempotent call whose reply is lost', async () => {
    expect(await doTest('lookup', owner => {
      owner.targetClient.calls.set('t1', [LOST])
      owner.targetClient.calls.set('t2', [REPLY])
    })).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "reply 200 "done"",
        "end complete finished",
        "target: call i~n~1~1 at t1",
        "target: call i~n~1~1 at t2",
      ]
    `)
  })

  it('sends nothing when the process is paused past the deadline while connecting', async () => {
    expect(await doTest('charge', owner => owner.targetClient.calls.set('t1', [() => owner.clock.jump(60_000)]))).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end notRun deadlineExceeded",
      ]
    `)
  })

  it('sends nothing when the state report of the target expires while connecting', async () => {
    expect(await doTest('charge', owner => owner.targetClient.calls.set('t1', [() => owner.readyTargets.clear()]))).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end notRun viewStale",
      ]
    `)
  })

  it('ends with the outcome unknown at the deadline and stores a late reply', async () => {
    const owner = createOwner()
    owner.targetClient.calls.set('t1', ['hang'])
    const early = owner.submit(1, { service: 'charge' })
    await owner.clock.advance(11_000)
    const entry = owner.requests.findRequest(owner.lease, 1).unwrapOr(undefined)
    entry?.setEnd({ outcome: 'complete', reason: 'finished' }, { type: 'reply', status: 200, body: 'late' })
    const late = owner.read(1, 0)
    await owner.clock.advance(1000)
    expect([...formatEvents(early), '--', ...formatEvents(late)]).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end unknown deadlineExceeded",
        "--",
        "accepted i~n~1~1 whole",
        "reply 200 "late"",
        "end complete finished",
      ]
    `)
  })
})
