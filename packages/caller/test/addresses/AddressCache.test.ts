import { SeededRandom } from '@fescuespoke/common'
import { type AddressAnswer } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { AddressCache, type AddressCacheOptions } from '../../src/addresses/AddressCache.js'
import { TestClock } from '../support/TestClock.js'

interface AddressCacheTest {
  readonly cache: AddressCache
  readonly clock: TestClock
  /** Base URLs of instances that do not respond. */
  readonly unreachableUrls: Set<string>
  readonly response: { addresses: AddressAnswer['addresses'] }
}

function createAddress (name: string, availabilityZone: string): AddressAnswer['addresses'][number] {
  return { instance: name, url: name, availabilityZone }
}

/** Returns the instances that received a request, followed by the lines of the test. */
async function doTest (run: (test: AddressCacheTest) => Promise<string[]>, options: Partial<AddressCacheOptions> = {}): Promise<string> {
  const requestedUrls: string[] = []
  const unreachableUrls = new Set<string>()
  const response = { addresses: [createAddress('a', 'z1'), createAddress('b', 'z2'), createAddress('c', 'z1')] }
  const clock = TestClock.create()
  const client: AddressCacheOptions['client'] = {
    fetchAddresses: async url => {
      requestedUrls.push(url)
      if (unreachableUrls.has(url)) return Result.err({ kind: 'notSent', detail: 'unreachable' })
      return Result.ok({ ...response, validForMs: 1000, revision: 1 })
    }
  }
  const cache = AddressCache.create({
    client, clock, random: SeededRandom.create(1), workspace: 'w', bootstrapUrls: ['seed'], hedgeMs: 100, avoidMs: 5000, ...options
  })
  const lines = await run({ cache, clock, unreachableUrls, response })
  return [`requested ${requestedUrls.join(' ')}`, ...lines].join('; ')
}

async function describeUrls (cache: AddressCache): Promise<string> {
  return (await cache.listUrls('s')).join(' ')
}

describe('AddressCache', () => {
  it('caches a response for its validity time', async () => {
    expect(await doTest(async ({ cache, clock }) => {
      const first = await describeUrls(cache)
      clock.advanceWithoutTimers(999)
      return [first, await describeUrls(cache)]
    })).toMatchInlineSnapshot('"requested seed; a b c; a b c"')
  })

  it('requests new addresses from the first-ranked instance when the cached response has expired', async () => {
    expect(await doTest(async ({ cache, clock }) => {
      await describeUrls(cache)
      clock.advanceWithoutTimers(1000)
      return [await describeUrls(cache)]
    })).toMatchInlineSnapshot('"requested seed a; a b c"')
  })

  it('sends the request to the next instances when one does not respond, and ranks the failed ones last', async () => {
    expect(await doTest(async ({ cache, clock, unreachableUrls }) => {
      await describeUrls(cache)
      clock.advanceWithoutTimers(1000)
      unreachableUrls.add('a').add('b')
      return [await describeUrls(cache)]
    })).toMatchInlineSnapshot('"requested seed a b c; c a b"')
  })

  it('keeps the last response when no instance responds', async () => {
    expect(await doTest(async ({ cache, clock, unreachableUrls }) => {
      await describeUrls(cache)
      clock.advanceWithoutTimers(1000)
      for (const url of ['a', 'b', 'c', 'seed']) unreachableUrls.add(url)
      return [await describeUrls(cache)]
    })).toMatchInlineSnapshot('"requested seed a b c seed; a b c"')
  })

  it('keeps the last response when the instances return no addresses', async () => {
    expect(await doTest(async ({ cache, clock, response }) => {
      await describeUrls(cache)
      clock.advanceWithoutTimers(1000)
      response.addresses = []
      return [await describeUrls(cache)]
    })).toMatchInlineSnapshot('"requested seed a b c seed; a b c"')
  })

  it('sends one request for concurrent lookups', async () => {
    expect(await doTest(async ({ cache }) => await Promise.all([describeUrls(cache), describeUrls(cache)]))).toMatchInlineSnapshot('"requested seed; a b c; a b c"')
  })

  it('ranks instances of its availability zone first', async () => {
    expect(await doTest(async ({ cache }) => [await describeUrls(cache)], { availabilityZone: 'z2' })).toMatchInlineSnapshot('"requested seed; b a c"')
  })

  it('restores the rank of a failed instance after `avoidMs`', async () => {
    expect(await doTest(async ({ cache, clock }) => {
      await describeUrls(cache)
      cache.deprioritizeUrl('a')
      const deprioritized = await describeUrls(cache)
      clock.advanceWithoutTimers(5000)
      return [deprioritized, await describeUrls(cache)]
    })).toMatchInlineSnapshot('"requested seed a; b c a; a b c"')
  })
})
