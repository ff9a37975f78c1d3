import { VirtualClock } from '@fescuespoke/common'
import { type CacheEvent } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { PrefixCacheIndex } from '../../src/affinity/PrefixCacheIndex.js'

function doTest (events: ReadonlyArray<readonly [number, CacheEvent['event'], string]>): string {
  const index = PrefixCacheIndex.create(VirtualClock.create())
  index.observeEvents('t', events.map(([sequence, event, prefix]) => ({ sequence, event, prefix })))
  return ['p', 'q'].filter(prefix => index.hasPrefix('t', prefix)).join(' ')
}

describe('PrefixViews', () => {
  it('knows what was stored', () => expect(doTest([[1, 'stored', 'p'], [2, 'stored', 'q']])).toBe('p q'))
  it('forgets what was evicted', () => expect(doTest([[1, 'stored', 'p'], [2, 'stored', 'q'], [3, 'evicted', 'p']])).toBe('q'))
  it('voids the view at a gap', () => expect(doTest([[1, 'stored', 'p'], [3, 'stored', 'q']])).toBe('q'))
  it('passes over repeated events', () => expect(doTest([[1, 'stored', 'p'], [2, 'evicted', 'p'], [1, 'stored', 'p']])).toBe(''))

  it('believes its own history for a while', async () => {
    const clock = VirtualClock.create()
    const index = PrefixCacheIndex.create(clock)
    index.observeSent('t', 'p')
    const before = index.hasPrefix('t', 'p')
    await clock.advance(60_000)
    expect([before, index.hasPrefix('t', 'p')]).toEqual([true, false])
  })
})
