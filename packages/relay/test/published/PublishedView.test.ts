import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type PublishedItem } from '../../src/published/PublishedItem.js'
import { PublishedView } from '../../src/published/PublishedView.js'

function doTest (act: (view: PublishedView) => void): string[] {
  const view = PublishedView.create()
  act(view)
  return view.listItems().map(({ key, revision, value }) => `${key}=${value ?? ''}@${revision}`).sort()
}

const put = (key: string, revision: number): PublishedItem => ({ key, revision, value: `v${revision}` })
const remove = (key: string, revision: number): PublishedItem => ({ key, revision })

describe('PublishedView', () => {
  it('applies a newer value', () => {
    expect(doTest(view => view.applyChanges([put('a', 1), put('a', 2)], 2))).toEqual(['a=v2@2'])
  })

  it('ignores an older value', () => {
    expect(doTest(view => { view.applyChanges([put('a', 5)], 5); view.applyChanges([put('a', 3)], 3) })).toEqual(['a=v5@5'])
  })

  it('does not restore a deleted key', () => {
    expect(doTest(view => { view.applyChanges([put('a', 1), remove('a', 4)], 4); view.applyChanges([put('a', 3)], 3) })).toEqual([])
  })

  it('restores a key that was written again', () => {
    expect(doTest(view => view.applyChanges([put('a', 1), remove('a', 4), put('a', 6)], 6))).toEqual(['a=v6@6'])
  })

  it('deletes keys that a complete read does not contain', () => {
    expect(doTest(view => { view.applyChanges([put('a', 1), put('b', 2)], 2); view.applyFullRead([put('b', 2)], 7) })).toEqual(['b=v2@2'])
  })

  it('keeps keys that were written after a complete read started', () => {
    expect(doTest(view => { view.applyChanges([put('a', 9)], 9); view.applyFullRead([], 7) })).toEqual(['a=v9@9'])
  })

  it('never lowers its revision', () => {
    const view = PublishedView.create()
    view.applyChanges([], 9)
    view.applyChanges([], 3)
    expect(view.getRevision()).toBe(9)
  })

  it('lists changes after a revision, including deletions', () => {
    const view = PublishedView.create()
    view.applyChanges([put('a', 1), put('b', 2), remove('a', 3)], 3)
    expect(view.listChanges(2)).toEqual([remove('a', 3)])
  })

  it('notifies listeners of changed keys only', () => {
    const notifiedKeys: string[] = []
    const view = PublishedView.create()
    view.addListener(items => notifiedKeys.push(items.map(({ key }) => key).join()))
    view.applyChanges([put('a', 1)], 1)
    view.applyChanges([put('a', 1)], 1)
    expect(notifiedKeys).toEqual(['a'])
  })

  it('reaches the same state regardless of the order in which changes arrive', () => {
    const change = fc.record({ key: fc.constantFrom('a', 'b'), isDeleted: fc.boolean() })
    fc.assert(fc.property(fc.array(change, { maxLength: 8 }), fc.infiniteStream(fc.nat()), (changes, order) => {
      const items = changes.map(({ key, isDeleted }, index) => isDeleted ? remove(key, index + 1) : put(key, index + 1))
      const shuffled = items.map(item => ({ item, at: order.next().value as number })).sort((a, b) => a.at - b.at).map(({ item }) => item)
      expect(doTest(view => { for (const item of shuffled) view.applyChanges([item], item.revision) }))
        .toEqual(doTest(view => view.applyChanges(items, items.length)))
    }))
  })
})
