import { VirtualClock } from '@fescuespoke/common'
import { type CacheEvent } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { PrefixCacheIndex } from '../../src/affinity/PrefixCacheIndex.js'

function doTest (events: ReadonlyArray<readonly [number, CacheEvent['event'], string]>): string {
  const index = PrefixCacheIndex.create(VirtualClock.create())
  index.observeEvents('t', events.map(([sequence, event, prefix]) => ({ sequence, event, prefix })))
  return ['p', 'q'].filter(prefix => index.hasPrefix('t', prefix)).join(' ')
}

describe('PrefixCacheIndex', () => {
  it('contains stored prefixes', () => expect(doTest([[1, 'stored', 'p'], [2, 'stored', 'q']])).toBe('p q'))
  it('removes evicted prefixes', () => expect(doTest([[1, 'stored', 'p'], [2, 'stored', 'q'], [3, 'evicted', 'p']])).toBe('q'))
  it('discards earlier prefixes at a gap in the sequence numbers', () => expect(doTest([[1, 'stored', 'p'], [3, 'stored', 'q']])).toBe('q'))
  it('ignores repeated events', () => expect(doTest([[1, 'stored', 'p'], [2, 'evicted', 'p'], [1, 'stored', 'p']])).toBe(''))

  it('contains a sent prefix until it expires', async () => {
    const clock = VirtualClock.create()
    const index = PrefixCacheIndex.create(clock)
    index.observeSent('t', 'p')
    const before = index.hasPrefix('t', 'p')
    await clock.advance(60_000)
    expect([before, index.hasPrefix('t', 'p')]).toEqual([true, false])
  })
})
