import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { LeaseBook, type LeaseBookOptions } from '../../src/leases/LeaseBook.js'
import { TestClock } from '../support/TestClock.js'

interface BookTest {
  readonly book: LeaseBook
  readonly clock: TestClock
  readonly draining: Set<string>
}

async function doTest (run: (test: BookTest) => Promise<string[]>): Promise<string> {
  const clock = TestClock.create()
  const draining = new Set<string>()
  const excluded = new Set<string>()
  let granted = 0
  const client: LeaseBookOptions['client'] = {
    requestLease: async url => {
      if (draining.has(url)) return Result.err({ kind: 'refused', status: 503, error: 'draining', detail: 'draining' })
      return Result.ok({ lease: `lease${++granted}`, instance: url, incarnation: 'i', validForMs: 1000, revision: 1 })
    }
  }
  const addresses: LeaseBookOptions['addresses'] = {
    listUrls: async () => ['a', 'b', 'c'].filter(url => !excluded.has(url)),
    excludeUrl: url => { excluded.add(url) }
  }
  const lines = await run({ book: LeaseBook.create({ client, addresses, clock, workspace: 'w', hedgeMs: 100 }), clock, draining })
  return [...lines, `excluded ${[...excluded].join(' ')}`].join('; ')
}

async function describeSlot (book: LeaseBook, service = 's'): Promise<string> {
  const slot = await book.acquireSlot(service)
  return slot.mapOr('none', ({ ownerUrl, lease, number }) => `${ownerUrl} ${lease}/${number}`)
}

describe('LeaseBook', () => {
  it('numbers requests under one lease', async () => {
    expect(await doTest(async ({ book }) => [await describeSlot(book), await describeSlot(book)])).toMatchInlineSnapshot('"a lease1/1; a lease1/2; excluded "')
  })

  it('asks once for requests at the same time', async () => {
    expect(await doTest(async ({ book }) => await Promise.all([describeSlot(book), describeSlot(book)]))).toMatchInlineSnapshot('"a lease1/1; a lease1/2; excluded "')
  })

  it('holds a lease for each service', async () => {
    expect(await doTest(async ({ book }) => [await describeSlot(book, 's'), await describeSlot(book, 't')])).toMatchInlineSnapshot('"a lease1/1; a lease2/1; excluded "')
  })

  it('renews a lease before it expires', async () => {
    expect(await doTest(async ({ book, clock }) => {
      const first = await describeSlot(book)
      clock.jump(499)
      const second = await describeSlot(book)
      clock.jump(1)
      return [first, second, await describeSlot(book)]
    })).toMatchInlineSnapshot('"a lease1/1; a lease1/2; a lease2/1; excluded "')
  })

  it('passes over an instance that is draining', async () => {
    expect(await doTest(async ({ book, draining }) => {
      draining.add('a')
      return [await describeSlot(book)]
    })).toMatchInlineSnapshot('"b lease1/1; excluded a"')
  })

  it('goes to another owner after a lease was removed', async () => {
    expect(await doTest(async ({ book }) => {
      const slot = await book.acquireSlot('s')
      if (slot.isOk) book.removeLease(slot.value)
      return [await describeSlot(book)]
    })).toMatchInlineSnapshot('"b lease2/1; excluded a"')
  })

  it('keeps a newer lease when an older one is removed', async () => {
    expect(await doTest(async ({ book, clock }) => {
      const old = await book.acquireSlot('s')
      clock.jump(500)
      await book.acquireSlot('s')
      if (old.isOk) book.removeLease(old.value)
      return [await describeSlot(book)]
    })).toMatchInlineSnapshot('"a lease2/2; excluded a"')
  })

  it('grants nothing when every instance is draining', async () => {
    expect(await doTest(async ({ book, draining }) => {
      draining.add('a').add('b').add('c')
      return [await describeSlot(book)]
    })).toMatchInlineSnapshot('"none; excluded a b c"')
  })
})
