import { describe, expect, it } from 'vitest'
import { Result } from 'true-myth'
import { createOwner, formatEvents } from '../support/createOwner.js'
import { createEnd, createTokens } from '../support/FakeTargetClient.js'

describe('RequestService', () => {
  it('runs copies of a request once and delivers the answer to all of them', async () => {
    const owner = createOwner()
    owner.targetClient.calls.set('t1', [Result.ok({ status: 200, body: 1 }), Result.ok({ status: 200, body: 2 })])
    const copies = [1, 2, 3].map(() => owner.submit(7, { service: 'charge' }))
    await owner.clock.advance(100)
    expect(copies.map(events => formatEvents(events).join(', '))).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~7 whole, reply 200 1, end complete finished",
        "accepted i~n~1~7 whole, reply 200 1, end complete finished",
        "accepted i~n~1~7 whole, reply 200 1, end complete finished",
      ]
    `)
    expect(owner.targetClient.log).toHaveLength(1)
  })

  it('rejects a different body for a request number that is in use', async () => {
    const owner = createOwner()
    owner.submit(1, { service: 'charge', body: 1 })
    const second = owner.requests.submitRequest(owner.lease, 1, { service: 'charge', body: 2 })
    expect(second.isErr && second.error).toBe('conflict')
  })

  it('never runs a request that was cancelled before it was submitted', async () => {
    const owner = createOwner()
    owner.targetClient.calls.set('t1', [Result.ok({ status: 200, body: 1 })])
    const end = await owner.requests.cancelRequest(owner.lease, 5)
    const events = owner.submit(5, { service: 'charge' })
    await owner.clock.advance(100)
    expect([end.outcome, ...formatEvents(events), ...owner.targetClient.log]).toMatchInlineSnapshot(`
      [
        "notRun",
        "accepted i~n~1~5 whole",
        "end notRun cancelledByCaller",
      ]
    `)
  })

  it('never runs a rejected request, even if a copy of it arrives when the reason for the rejection no longer applies', async () => {
    const owner = createOwner()
    owner.targetClient.calls.set('t1', [Result.ok({ status: 200, body: 1 })])
    owner.isRejecting = true
    const first = owner.submit(1, { service: 'charge' })
    await owner.clock.advance(100)
    owner.isRejecting = false
    const copy = owner.submit(1, { service: 'charge' })
    await owner.clock.advance(100)
    expect([...formatEvents(first), ...formatEvents(copy), ...owner.targetClient.log]).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end notRun draining",
        "accepted i~n~1~1 whole",
        "end notRun draining",
      ]
    `)
  })

  it('rejects new requests shortly after a pause of the process, but attaches to existing ones', async () => {
    const owner = createOwner()
    owner.targetClient.calls.set('t1', [Result.ok({ status: 200, body: 1 })])
    const existing = owner.submit(1, { service: 'charge' })
    owner.isRecovering = true
    const late = owner.submit(2, { service: 'charge' })
    await owner.clock.advance(100)
    expect([...formatEvents(existing), ...formatEvents(late), ...owner.targetClient.log]).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "reply 200 1",
        "end complete finished",
        "accepted i~n~1~2 whole",
        "end notRun viewStale",
        "call i~n~1~1 at t1",
      ]
    `)
  })

  it('does not run a request that first arrives after its lease has expired', async () => {
    const owner = createOwner()
    await owner.clock.advance(61_000)
    const events = owner.submit(1, { service: 'charge' })
    await owner.clock.advance(100)
    expect([...formatEvents(events), ...owner.targetClient.log]).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end notRun leaseExpired",
      ]
    `)
  })

  it('rejects services that are not in the configuration', async () => {
    const owner = createOwner()
    const events = owner.submit(1, { service: 'other' })
    await owner.clock.advance(100)
    expect(formatEvents(events)).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 whole",
        "end notRun notConfigured",
      ]
    `)
  })

  it('returns unknown for the cancellation of a new request when the lease holds too many requests', async () => {
    const owner = createOwner()
    for (let number = 1; number <= 100; number++) await owner.requests.cancelRequest(owner.lease, number)
    expect((await owner.requests.cancelRequest(owner.lease, 101)).outcome).toBe('unknown')
  })

  it('cancels a running generation on its target', async () => {
    const owner = createOwner()
    owner.targetClient.streams.set('t1', [[createTokens(0, 1), 'hang']])
    const events = owner.submit(1, { service: 'streamed' })
    await owner.clock.advance(100)
    const cancelled = owner.requests.cancelRequest(owner.lease, 1)
    await owner.clock.advance(100)
    expect([(await cancelled).outcome, ...formatEvents(events), ...owner.targetClient.log]).toMatchInlineSnapshot(`
      [
        "cancelled",
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0",
        "end cancelled cancelledByCaller",
        "start g1 at t1 from 0",
        "cancel g1 at t1",
      ]
    `)
  })

  it('returns unknown for the cancellation of a call that has been sent', async () => {
    const owner = createOwner()
    owner.targetClient.calls.set('t1', ['hang'])
    owner.submit(1, { service: 'charge' })
    await owner.clock.advance(100)
    expect((await owner.requests.cancelRequest(owner.lease, 1)).outcome).toBe('unknown')
  })

  it('removes a lease only after its retention time', async () => {
    const owner = createOwner()
    await owner.clock.advance(119_000)
    owner.leases.pruneLeases()
    const before = owner.leases.countLeases()
    await owner.clock.advance(2000)
    owner.leases.pruneLeases()
    expect([before, owner.leases.countLeases()]).toEqual([1, 0])
  })

  it('redirects a reader to the target when its tokens are no longer buffered', async () => {
    const owner = createOwner()
    owner.targetClient.streams.set('t1', [[createTokens(0, 4), createEnd(4)]])
    owner.submit(1, { service: 'streamed' })
    await owner.clock.advance(10_000)
    const events = owner.read(1, 2)
    await owner.clock.advance(100)
    expect(formatEvents(events)).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "handover",
      ]
    `)
  })

  it('applies backpressure to the target while no reader reads tokens', async () => {
    const owner = createOwner()
    const script = Array.from({ length: 20 }, (_, index) => createTokens(index * 4, 4))
    owner.targetClient.streams.set('t1', [[...script, createEnd(80)]])
    owner.requests.submitRequest(owner.lease, 1, { service: 'streamed' })
    await owner.clock.advance(100)
    const entry = owner.requests.findRequest(owner.lease, 1).unwrapOr(undefined)
    expect(entry?.tokens.getEndOffset()).toBe(12)
    const events = owner.read(1, 0)
    await owner.clock.advance(1000)
    expect(formatEvents(events).at(-1)).toBe('end complete finished')
  })

  it('hands over streams when the instance is stopping', async () => {
    const owner = createOwner()
    owner.targetClient.streams.set('t1', [[createTokens(0, 2), 'hang']])
    const events = owner.submit(1, { service: 'streamed' })
    await owner.clock.advance(100)
    owner.isHandingOver = true
    await owner.clock.advance(2000)
    expect(formatEvents(events)).toMatchInlineSnapshot(`
      [
        "accepted i~n~1~1 stream",
        "generation g1",
        "tokens g1 0 t0 t1",
        "handover",
      ]
    `)
  })
})
