import { SeededRandom } from '@fescuespoke/common'
import { type AddressAnswer } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { AddressBook, type AddressBookOptions } from '../../src/addresses/AddressBook.js'
import { TestClock } from '../support/TestClock.js'

interface BookTest {
  readonly book: AddressBook
  readonly clock: TestClock
  /** Instances that do not answer. */
  readonly down: Set<string>
  readonly answer: { addresses: AddressAnswer['addresses'] }
}

function createAddress (name: string, availabilityZone: string): AddressAnswer['addresses'][number] {
  return { instance: name, url: name, availabilityZone }
}

/** Returns the instances that were asked, after which come the lines of the test. */
async function doTest (run: (test: BookTest) => Promise<string[]>, options: Partial<AddressBookOptions> = {}): Promise<string> {
  const asked: string[] = []
  const down = new Set<string>()
  const answer = { addresses: [createAddress('a', 'z1'), createAddress('b', 'z2'), createAddress('c', 'z1')] }
  const clock = TestClock.create()
  const client: AddressBookOptions['client'] = {
    fetchAddresses: async url => {
      asked.push(url)
      if (down.has(url)) return Result.err({ kind: 'notSent', detail: 'down' })
      return Result.ok({ ...answer, validForMs: 1000, revision: 1 })
    }
  }
  const book = AddressBook.create({
    client, clock, random: SeededRandom.create(1), workspace: 'w', bootstrapUrls: ['seed'], hedgeMs: 100, avoidMs: 5000, ...options
  })
  const lines = await run({ book, clock, down, answer })
  return [`asked ${asked.join(' ')}`, ...lines].join('; ')
}

async function describeUrls (book: AddressBook): Promise<string> {
  return (await book.listUrls('s')).join(' ')
}

describe('AddressBook', () => {
  it('keeps an answer for its time', async () => {
    expect(await doTest(async ({ book, clock }) => {
      const first = await describeUrls(book)
      clock.jump(999)
      return [first, await describeUrls(book)]
    })).toMatchInlineSnapshot('"asked seed; a b c; a b c"')
  })

  it('asks the best known instance when the answer is too old', async () => {
    expect(await doTest(async ({ book, clock }) => {
      await describeUrls(book)
      clock.jump(1000)
      return [await describeUrls(book)]
    })).toMatchInlineSnapshot('"asked seed a; a b c"')
  })

  it('asks the next ones when an instance does not answer, and ranks it last', async () => {
    expect(await doTest(async ({ book, clock, down }) => {
      await describeUrls(book)
      clock.jump(1000)
      down.add('a').add('b')
      return [await describeUrls(book)]
    })).toMatchInlineSnapshot('"asked seed a b c; c a b"')
  })

  it('keeps the last answer when nobody answers', async () => {
    expect(await doTest(async ({ book, clock, down }) => {
      await describeUrls(book)
      clock.jump(1000)
      for (const url of ['a', 'b', 'c', 'seed']) down.add(url)
      return [await describeUrls(book)]
    })).toMatchInlineSnapshot('"asked seed a b c seed; a b c"')
  })

  it('keeps the last answer when an instance knows no address', async () => {
    expect(await doTest(async ({ book, clock, answer }) => {
      await describeUrls(book)
      clock.jump(1000)
      answer.addresses = []
      return [await describeUrls(book)]
    })).toMatchInlineSnapshot('"asked seed a b c seed; a b c"')
  })

  it('asks once for requests at the same time', async () => {
    expect(await doTest(async ({ book }) => await Promise.all([describeUrls(book), describeUrls(book)]))).toMatchInlineSnapshot('"asked seed; a b c; a b c"')
  })

  it('puts instances of its availability zone first', async () => {
    expect(await doTest(async ({ book }) => [await describeUrls(book)], { availabilityZone: 'z2' })).toMatchInlineSnapshot('"asked seed; b a c"')
  })

  it('puts an excluded instance back after a while', async () => {
    expect(await doTest(async ({ book, clock }) => {
      await describeUrls(book)
      book.excludeUrl('a')
      const excluded = await describeUrls(book)
      clock.jump(5000)
      return [excluded, await describeUrls(book)]
    })).toMatchInlineSnapshot('"asked seed a; b c a; a b c"')
  })
})
