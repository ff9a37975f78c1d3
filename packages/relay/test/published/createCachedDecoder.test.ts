import { describe, expect, it } from 'vitest'
import { createCachedDecoder } from '../../src/published/createCachedDecoder.js'
import { type PublishedItem } from '../../src/published/PublishedItem.js'

const createItem = (key: string): PublishedItem => ({ key, era: 1, revision: 1, value: key })

/** Decodes items with a decoder that fails on key `odd`; returns their kinds and the number of calls of that decoder. */
function doTest (items: readonly PublishedItem[]): [string[], number] {
  let calls = 0
  const decodeItem = createCachedDecoder(({ key }) => {
    calls++
    if (key === 'odd') throw new RangeError('too deep')
    return { kind: 'targetRemoved', name: key }
  })
  return [items.map(item => decodeItem(item).kind), calls]
}

describe('a cached decoder', () => {
  it('decodes each item once', () => {
    const item = createItem('a')
    expect(doTest([item, item, createItem('a')])).toEqual([['targetRemoved', 'targetRemoved', 'targetRemoved'], 2])
  })

  /** Guards against an instance that stops to follow the store because of one entry. */
  it('refuses an item on which the decoder fails, and decodes the others', () => {
    const odd = createItem('odd')
    expect(doTest([createItem('a'), odd, odd, createItem('b')])).toEqual([['targetRemoved', 'refused', 'refused', 'targetRemoved'], 3])
  })
})
