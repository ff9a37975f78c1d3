import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { LeaseManager, type LeaseManagerOptions } from '../../src/leases/LeaseManager.js'
import { TestClock } from '../support/TestClock.js'

interface LeaseManagerTest {
  readonly manager: LeaseManager
  readonly clock: TestClock
  readonly drainingUrls: Set<string>
}

async function doTest (run: (test: LeaseManagerTest) => Promise<string[]>): Promise<string> {
  const clock = TestClock.create()
  const drainingUrls = new Set<string>()
  const deprioritizedUrls = new Set<string>()
  let grantedCount = 0
  const client: LeaseManagerOptions['client'] = {
    requestLease: async url => {
      if (drainingUrls.has(url)) return Result.err({ kind: 'httpError', status: 503, error: 'draining', detail: 'draining' })
      return Result.ok({ lease: `lease${++grantedCount}`, instance: url, incarnation: 'i', validForMs: 1000, revision: 1 })
    }
  }
  const addresses: LeaseManagerOptions['addresses'] = {
    listUrls: async () => ['a', 'b', 'c'].filter(url => !deprioritizedUrls.has(url)),
    deprioritizeUrl: url => { deprioritizedUrls.add(url) }
  }
  const lines = await run({ manager: LeaseManager.create({ client, addresses, clock, workspace: 'w', hedgeMs: 100 }), clock, drainingUrls })
  return [...lines, `deprioritized ${[...deprioritizedUrls].join(' ')}`].join('; ')
}

async function describeRequestId (manager: LeaseManager, service = 's'): Promise<string> {
  const requestId = await manager.allocateRequestId(service)
  return requestId.mapOr('none', ({ ownerUrl, lease, number }) => `${ownerUrl} ${lease}/${number}`)
}

describe('LeaseManager', () => {
  it('numbers the requests under a lease', async () => {
    expect(await doTest(async ({ manager }) => [await describeRequestId(manager), await describeRequestId(manager)])).toMatchInlineSnapshot('"a lease1/1; a lease1/2; deprioritized "')
  })

  it('requests one lease for concurrent requests', async () => {
    expect(await doTest(async ({ manager }) => await Promise.all([describeRequestId(manager), describeRequestId(manager)]))).toMatchInlineSnapshot('"a lease1/1; a lease1/2; deprioritized "')
  })

  it('uses a separate lease for each service', async () => {
    expect(await doTest(async ({ manager }) => [await describeRequestId(manager, 's'), await describeRequestId(manager, 't')])).toMatchInlineSnapshot('"a lease1/1; a lease2/1; deprioritized "')
  })

  it('renews a lease before it expires', async () => {
    expect(await doTest(async ({ manager, clock }) => {
      const first = await describeRequestId(manager)
      clock.advanceWithoutTimers(499)
      const second = await describeRequestId(manager)
      clock.advanceWithoutTimers(1)
      return [first, second, await describeRequestId(manager)]
    })).toMatchInlineSnapshot('"a lease1/1; a lease1/2; a lease2/1; deprioritized "')
  })

  it('skips an instance that is draining', async () => {
    expect(await doTest(async ({ manager, drainingUrls }) => {
      drainingUrls.add('a')
      return [await describeRequestId(manager)]
    })).toMatchInlineSnapshot('"b lease1/1; deprioritized a"')
  })

  it('uses another owner after a lease is removed', async () => {
    expect(await doTest(async ({ manager }) => {
      const requestId = await manager.allocateRequestId('s')
      if (requestId.isOk) manager.removeLease(requestId.value)
      return [await describeRequestId(manager)]
    })).toMatchInlineSnapshot('"b lease2/1; deprioritized a"')
  })

  it('keeps a newer lease when an older one is removed', async () => {
    expect(await doTest(async ({ manager, clock }) => {
      const oldRequestId = await manager.allocateRequestId('s')
      clock.advanceWithoutTimers(500)
      await manager.allocateRequestId('s')
      if (oldRequestId.isOk) manager.removeLease(oldRequestId.value)
      return [await describeRequestId(manager)]
    })).toMatchInlineSnapshot('"a lease2/2; deprioritized a"')
  })

  it('fails when all instances are draining', async () => {
    expect(await doTest(async ({ manager, drainingUrls }) => {
      drainingUrls.add('a').add('b').add('c')
      return [await describeRequestId(manager)]
    })).toMatchInlineSnapshot('"none; deprioritized a b c"')
  })
})
