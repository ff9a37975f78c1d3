import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type PublishedItem } from '../../src/published/PublishedItem.js'
import { type PublishedPosition, START_POSITION } from '../../src/published/PublishedPosition.js'
import { PublishedView } from '../../src/published/PublishedView.js'

function doTest (act: (view: PublishedView) => void): string[] {
  const view = PublishedView.create()
  act(view)
  return view.listItems().map(({ key, revision, value }) => `${key}=${value ?? ''}@${revision}`).sort()
}

const ERA = 0

const at = (revision: number, era = ERA): PublishedPosition => ({ era, revision })
const put = (key: string, revision: number, era = ERA): PublishedItem => ({ key, era, revision, value: `v${revision}` })
const remove = (key: string, revision: number, era = ERA): PublishedItem => ({ key, era, revision })

const change = fc.record({ key: fc.constantFrom('a', 'b'), isDeleted: fc.boolean() })
const createHistory = (changes: ReadonlyArray<{ key: string, isDeleted: boolean }>): PublishedItem[] =>
  changes.map(({ key, isDeleted }, index) => isDeleted ? remove(key, index + 1) : put(key, index + 1))

/** An answer to a request of the view at one point in time, which arrives after some further ones. */
interface Answer {
  readonly isFullRead: boolean
  readonly revision: number
  readonly delay: number
  /** Number of changes between the first page of a complete read, which has key a, and the second one. */
  readonly changesBetweenPages?: number
}

const answer: fc.Arbitrary<Answer> = fc.record({ isFullRead: fc.boolean(), revision: fc.nat(8), delay: fc.nat(3) })
const pagedAnswer: fc.Arbitrary<Answer> = fc.record({ isFullRead: fc.boolean(), revision: fc.nat(8), delay: fc.nat(3), changesBetweenPages: fc.nat(3) })
const histories = fc.array(change, { minLength: 1, maxLength: 8 }).map(createHistory)

describe('PublishedView', () => {
  it('applies a newer value', () => {
    expect(doTest(view => view.applyChanges([put('a', 1), put('a', 2)], at(2)))).toEqual(['a=v2@2'])
  })

  it('ignores an older value', () => {
    expect(doTest(view => { view.applyChanges([put('a', 5)], at(5)); view.applyChanges([put('a', 3)], at(3)) })).toEqual(['a=v5@5'])
  })

  it('does not restore a deleted key', () => {
    expect(doTest(view => { view.applyChanges([put('a', 1), remove('a', 4)], at(4)); view.applyChanges([put('a', 3)], at(3)) })).toEqual([])
  })

  it('restores a key that was written again', () => {
    expect(doTest(view => view.applyChanges([put('a', 1), remove('a', 4), put('a', 6)], at(6)))).toEqual(['a=v6@6'])
  })

  it('deletes keys that a complete read does not contain', () => {
    expect(doTest(view => { view.applyChanges([put('a', 1), put('b', 2)], at(2)); view.applyFullRead([put('b', 2)], at(7)) })).toEqual(['b=v2@2'])
  })

  it('keeps keys that were written after a complete read started', () => {
    expect(doTest(view => { view.applyChanges([put('a', 9)], at(9)); view.applyFullRead([], at(7)) })).toEqual(['a=v9@9'])
  })

  it('does not restore a key that it never had from an answer that is older than its complete read', () => {
    expect(doTest(view => { view.applyFullRead([], at(7)); view.applyChanges([put('a', 5)], at(6)) })).toEqual([])
    expect(doTest(view => { view.applyFullRead([], at(7)); view.applyFullRead([put('a', 5)], at(6)) })).toEqual([])
  })

  it('takes a key that was written after its complete read from an answer that is older than its position', () => {
    expect(doTest(view => { view.applyFullRead([], at(7)); view.applyFullRead([put('a', 9)], at(6)) })).toEqual(['a=v9@9'])
  })

  it('takes a key that it lacks from a complete read that is as recent', () => {
    expect(doTest(view => { view.applyFullRead([], at(7)); view.applyFullRead([put('a', 5)], at(7)) })).toEqual(['a=v5@5'])
  })

  it('never lowers its revision', () => {
    const view = PublishedView.create()
    view.applyChanges([], at(9))
    view.applyChanges([], at(3))
    expect(view.getPosition()).toEqual(at(9))
  })

  it('lists changes after a revision, including deletions', () => {
    const view = PublishedView.create()
    view.applyChanges([put('a', 1), put('b', 2), remove('a', 3)], at(3))
    expect(view.listChanges({ ...at(2), version: 0 })).toEqual([remove('a', 3)])
  })

  it('knows no deletions from before a complete read or before those that it dropped', () => {
    const listKnown = (view: PublishedView): boolean[] => [0, 1, 2, 3].map(revision => view.hasAllDeletions(at(revision)))
    const view = PublishedView.create()
    expect(listKnown(view)).toEqual([true, true, true, true])
    view.applyChanges(Array.from({ length: 4098 }, (_, index) => remove(`k${index}`, index + 1)), at(4098))
    expect(listKnown(view)).toEqual([false, false, true, true])
    view.applyFullRead([], at(5000))
    expect([4999, 5000].map(revision => view.hasAllDeletions(at(revision)))).toEqual([false, true])
  })

  it('notifies listeners of changed keys only', () => {
    const notifiedKeys: string[] = []
    const view = PublishedView.create()
    view.addListener(items => notifiedKeys.push(items.map(({ key }) => key).join()))
    view.applyChanges([put('a', 1)], at(1))
    view.applyChanges([put('a', 1)], at(1))
    expect(notifiedKeys).toEqual(['a'])
  })

  it('reaches the same state regardless of the order in which changes arrive', () => {
    fc.assert(fc.property(fc.array(change, { maxLength: 8 }), fc.infiniteStream(fc.nat()), (changes, order) => {
      const items = createHistory(changes)
      const shuffled = items.map(item => ({ item, at: order.next().value as number })).sort((a, b) => a.at - b.at).map(({ item }) => item)
      expect(doTest(view => { for (const item of shuffled) view.applyChanges([item], START_POSITION) }))
        .toEqual(doTest(view => view.applyChanges(items, at(items.length))))
    }))
  })

  it('has the keys of its position regardless of how late answers arrive', () => {
    fc.assert(fc.property(histories, fc.array(answer, { maxLength: 12 }), (history, answers) => {
      doTestAnswers(history, answers, view => expect(formatKeys(view.listItems())).toEqual(formatKeys(listKeys(history, view.getPosition().revision))))
    }), { numRuns: 1000 })
  })

  it('ends with all keys regardless of how late answers arrive and of what changes between the pages of a read', () => {
    fc.assert(fc.property(histories, fc.array(pagedAnswer, { maxLength: 12 }), (history, answers) => {
      const view = doTestAnswers(history, answers)
      view.applyChanges(history.slice(view.getPosition().revision), at(history.length))
      expect(formatKeys(view.listItems())).toEqual(formatKeys(listKeys(history, history.length)))
    }), { numRuns: 1000 })
  })
})

/** Applies answers in the order of their arrival; the changes of an answer are those since the position that the view had at the request. */
function doTestAnswers (history: readonly PublishedItem[], answers: readonly Answer[], observe?: (view: PublishedView) => void): PublishedView {
  const view = PublishedView.create()
  const pending: Array<{ arrivesAt: number, apply: () => void }> = []
  for (let time = 0; time < answers.length + 4; time++) {
    const next = answers[time]
    if (next !== undefined) pending.push({ arrivesAt: time + next.delay, apply: createAnswer(view, history, next) })
    for (const { arrivesAt, apply } of pending) if (arrivesAt === time) apply()
    observe?.(view)
  }
  return view
}

function createAnswer (view: PublishedView, history: readonly PublishedItem[], { isFullRead, revision, changesBetweenPages = 0 }: Answer): () => void {
  const position = at(Math.min(revision, history.length))
  const changes = history.slice(view.getPosition().revision, position.revision)
  const firstPage = listKeys(history, position.revision).filter(({ key }) => key === 'a')
  const secondPage = listKeys(history, position.revision + changesBetweenPages).filter(({ key }) => key !== 'a')
  return () => isFullRead ? view.applyFullRead([...firstPage, ...secondPage], position) : view.applyChanges(changes, position)
}

function listKeys (history: readonly PublishedItem[], revision: number): PublishedItem[] {
  const items = new Map(history.slice(0, revision).map(item => [item.key, item]))
  return [...items.values()].filter(({ value }) => value !== undefined)
}

function formatKeys (items: readonly PublishedItem[]): string[] {
  return items.map(({ key, revision }) => `${key}@${revision}`).sort()
}

describe('PublishedView of a store that returned from an older copy', () => {
  const getVersion = ({ value }: PublishedItem): number | undefined => value?.startsWith('v') === true ? Number(value.slice(1)) : undefined
  const configure = (version: number, revision: number, era: number): PublishedItem => ({ key: 'c', era, revision, value: `v${version}` })
  const register = (key: string, revision: number, era: number): PublishedItem => ({ key, era, revision, value: 'ready' })

  /** Applies a complete read of era 1, then that of a copy which has an older configuration and another target. */
  function doTest (act: (view: PublishedView) => void = () => undefined): { items: string, position: PublishedPosition, ignored: number, restores: number } {
    let ignored = 0
    let restores = 0
    const view = PublishedView.create({ getVersion, onIgnored: () => ignored++ })
    view.addRestoreListener(() => restores++)
    view.applyFullRead([configure(12, 100, 1), register('t', 99, 1)], at(100, 1))
    view.applyFullRead([configure(9, 70, 2), register('u', 80, 2)], at(85, 2))
    act(view)
    return { items: view.listItems().map(({ key, era, revision, value }) => `${key}=${value}@${era}.${revision}`).sort().join(' '), position: view.getPosition(), ignored, restores }
  }

  it('keeps the configuration with the higher version and takes over all other keys', () => {
    expect(doTest()).toEqual({ items: 'c=v12@1.100 u=ready@2.80', position: at(85, 2), ignored: 1, restores: 1 })
  })

  it('takes the configuration that is written again, and the next one', () => {
    expect(doTest(view => view.applyChanges([configure(12, 86, 2)], at(86, 2))).items).toBe('c=v12@2.86 u=ready@2.80')
    expect(doTest(view => view.applyChanges([configure(14, 87, 2)], at(87, 2))).items).toBe('c=v14@2.87 u=ready@2.80')
  })

  it('ignores keys of the previous era that a peer sends late, except for a higher version', () => {
    expect(doTest(view => view.applyChanges([register('w', 101, 1), configure(13, 102, 1)], at(102, 1)))).toMatchObject({ items: 'c=v13@1.102 u=ready@2.80', position: at(85, 2) })
  })

  it('sends a peer in the same position the configuration that the store lacks', () => {
    doTest(view => expect(view.listChanges({ ...at(85, 2), version: 9 })).toEqual([configure(12, 100, 1)]))
  })

  it('keeps the configuration when the store has none', () => {
    expect(doTest(view => view.applyFullRead([], at(10, 3))).items).toBe('c=v12@1.100')
    expect(doTest(view => view.applyChanges([{ key: 'c', ...at(90, 2) }], at(90, 2))).items).toBe('c=v12@1.100 u=ready@2.80')
  })
})

/** Guards against ORDER: a target that joined and left unseen was missing among the versions that an instance had observed. */
describe('gaps of a view', () => {
  function countGaps (act: (view: PublishedView) => void): number {
    const view = PublishedView.create()
    let gaps = 0
    view.addGapListener(() => { gaps++ })
    act(view)
    return gaps
  }

  const readFirst = (view: PublishedView): void => view.applyFullRead([put('a', 1)], at(1))

  it('are not told of the first read, of changes and of deletions of known keys', () => {
    expect(countGaps(view => {
      readFirst(view)
      view.applyChanges([put('b', 2), remove('b', 3), put('a', 4)], at(4))
      view.applyChanges([remove('a', 5)], at(5))
    })).toBe(0)
  })

  it('are told of a later complete read, but not of one that is not ahead', () => {
    expect(countGaps(view => {
      readFirst(view)
      view.applyFullRead([put('a', 1)], at(1))
      view.applyFullRead([put('a', 1)], at(6))
    })).toBe(1)
  })

  it('are told of a deletion of a key that was not known, once', () => {
    expect(countGaps(view => {
      readFirst(view)
      view.applyChanges([remove('b', 3)], at(3))
      view.applyChanges([remove('b', 3)], at(3))
    })).toBe(1)
  })

  it('are told of the second deletion of a key that was written again in between', () => {
    expect(countGaps(view => {
      readFirst(view)
      view.applyChanges([remove('a', 2)], at(2))
      view.applyChanges([remove('a', 4)], at(4))
    })).toBe(1)
  })
})
