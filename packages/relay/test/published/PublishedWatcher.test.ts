import { createLogger, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { PublishedWatcher } from '../../src/published/PublishedWatcher.js'
import { type PublishedChanges, type PublishedError, type PublishedItem, type PublishedPage, type PublishedSource } from '../../src/published/PublishedItem.js'
import { type PublishedPosition } from '../../src/published/PublishedPosition.js'
import { type ItemsListener, PublishedView } from '../../src/published/PublishedView.js'

type PageResult = Result<PublishedPage, PublishedError>
type ChangesResult = Result<PublishedChanges, PublishedError>

interface Outcome {
  readonly view: PublishedView
  readonly calls: string[]
  readonly watcher: PublishedWatcher
  readonly peerFetchCount: number
}

const at = (revision: number, era = 1): PublishedPosition => ({ era, revision })
const createItem = (key: string, revision: number, era = 1): PublishedItem => ({ key, ...at(revision, era), value: key })
const createPage = (revision: number, ...keys: string[]): PageResult => Result.ok({ position: at(revision), items: keys.map(key => ({ key, ...at(revision), value: key })) })
const createChanges = (revision: number, ...keys: string[]): ChangesResult => Result.ok({ position: at(revision), items: keys.map(key => ({ key, ...at(revision), value: key })) })

/** Watches a scripted source for some time; a watch after the end of the script waits until its timeout. */
async function doTest (pages: PageResult[], watches: ChangesResult[], durationMs = 100, canSkipWatch?: (nowMs: number) => boolean, refreshAtMs = Infinity, watchDelayMs = 0, listener: ItemsListener = () => {}): Promise<Outcome> {
  const clock = VirtualClock.create()
  const view = PublishedView.create()
  view.addListener(listener)
  const calls: string[] = []
  let peerFetchCount = 0
  const source: PublishedSource = {
    fetchPage: async after => {
      calls.push(`page after '${after}'`)
      return pages.shift() ?? Result.err('unreachable')
    },
    watchChanges: async (after, { waitMs, signal }) => {
      calls.push(`watch after ${after}${waitMs === 0 ? ' at once' : ''}`)
      const next = watches.shift()
      if (next !== undefined) return next
      await clock.sleep(waitMs, signal)
      if (signal.aborted) return Result.err('timeout')
      return Result.ok({ items: [], position: { ...view.getPosition(), revision: after } })
    }
  }
  const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
  const fetchFromPeers = async (): Promise<boolean> => {
    peerFetchCount++
    return false
  }
  const watcher = PublishedWatcher.create({ view, source, clock, random: SeededRandom.create(1), log, fetchFromPeers, canSkipWatch: () => canSkipWatch?.(clock.nowMs()) ?? false, getWatchDelayMs: () => watchDelayMs })
  watcher.run()
  if (refreshAtMs < durationMs) clock.startTimer(refreshAtMs, () => watcher.refresh())
  await clock.advance(durationMs)
  watcher.stop()
  return { view, calls, watcher, peerFetchCount }
}

describe('PublishedWatcher', () => {
  /** Guards against an instance that stops to follow the store because one change cannot be applied. */
  it('goes on to watch after a change on which a listener fails', async () => {
    const received: string[] = []
    const { view } = await doTest([createPage(5, 'a')], [createChanges(6, 'b'), createChanges(7, 'c')], 5000, undefined, Infinity, 0, items => {
      received.push(...items.map(({ key }) => key))
      if (items.some(({ key }) => key === 'b')) throw new Error('cannot be applied')
    })
    expect([received, view.getPosition().revision]).toEqual([['a', 'b', 'c'], 7])
  })

  it('reads all pages, then watches from the revision of the first page', async () => {
    const first: PageResult = Result.ok({ position: at(5), items: [{ key: 'a', ...at(1), value: 'a' }], nextAfter: 'a' })
    const { view, calls } = await doTest([first, createPage(9, 'b')], [])
    expect(view.listItems().map(({ key }) => key)).toEqual(['a', 'b'])
    expect(calls.slice(0, 3)).toEqual(["page after ''", "page after 'a'", 'watch after 5 at once'])
  })

  it('reads all pages of a store with many keys', async () => {
    const keys = Array.from({ length: 300 }, (_, index) => `k${1000 + index}`)
    const pages = keys.map((key, index): PageResult => Result.ok({ position: at(5), items: [createItem(key, 5)], nextAfter: index < keys.length - 1 ? key : undefined }))
    expect((await doTest(pages, [])).view.listItems().length).toBe(300)
  })

  it('does not use a read whose pages do not go on', async () => {
    const page: PageResult = Result.ok({ position: at(5), items: [createItem('a', 5)], nextAfter: 'a' })
    const { view } = await doTest([page, page, page], [], 150)
    expect(view.listItems()).toEqual([])
  })

  it('continues from the revision of each answer', async () => {
    const { calls } = await doTest([createPage(5, 'a')], [createChanges(6), createChanges(8, 'b')])
    expect(calls).toEqual(["page after ''", 'watch after 5 at once', 'watch after 6', 'watch after 8'])
  })

  it('reads all keys again after compaction and deletes the keys that are absent', async () => {
    const { view } = await doTest([createPage(5, 'a', 'b'), createPage(9, 'b')], [createChanges(6), Result.err('compacted')])
    expect(view.listItems().map(({ key }) => key)).toEqual(['b'])
  })

  it('keeps the view and fetches from peers while the store does not answer', async () => {
    const { view, peerFetchCount, watcher } = await doTest([createPage(5, 'a')], [createChanges(6), Result.err('refused'), Result.err('timeout')], 100)
    expect(view.listItems().map(({ key }) => key)).toEqual(['a'])
    expect(peerFetchCount).toBeGreaterThan(0)
    expect(watcher.getTimeSinceOutageMs()).toBe(0)
  })

  it('measures the time since the last outage of the store', async () => {
    const { watcher } = await doTest([createPage(5, 'a')], [createChanges(6), Result.err('refused')], 3000)
    expect(watcher.getTimeSinceOutageMs()).toBeGreaterThan(0)
    expect(watcher.getTimeSinceOutageMs()).toBeLessThan(3000)
  })

  it('skips watching while peers watch, and watches again when they do not', async () => {
    const { calls } = await doTest([createPage(5, 'a')], [createChanges(6)], 2000, nowMs => nowMs < 1000)
    expect(calls).toEqual(["page after ''", 'watch after 5 at once', 'watch after 6'])
  })

  it('requests an answer immediately on refresh and does not count its own abort as an outage', async () => {
    const { calls, watcher, peerFetchCount } = await doTest([createPage(5, 'a')], [createChanges(6)], 1000, undefined, 500)
    expect(calls.slice(1)).toEqual(['watch after 5 at once', 'watch after 6', 'watch after 6 at once', 'watch after 6'])
    expect([watcher.isStale(), peerFetchCount]).toEqual([false, 0])
  })

  it('is stale from a refresh until the store has answered', async () => {
    const { watcher } = await doTest([createPage(5, 'a')], [createChanges(6), createChanges(7), Result.err('refused')], 60, undefined, 50)
    expect(watcher.isStale()).toBe(true)
  })

  it('does not wait for changes after an outage until the store has answered', async () => {
    const { calls } = await doTest([createPage(5, 'a')], [createChanges(6), Result.err('timeout'), Result.err('timeout'), createChanges(7)], 2000)
    expect(calls.slice(1)).toEqual(['watch after 5 at once', 'watch after 6', 'watch after 6 at once', 'watch after 6 at once', 'watch after 7'])
  })

  it('delays each watch by the configured time', async () => {
    const createManyChanges = (): ChangesResult[] => Array.from({ length: 50 }, (_, index) => createChanges(6 + index))
    const immediate = await doTest([createPage(5, 'a')], createManyChanges(), 1000)
    const delayed = await doTest([createPage(5, 'a')], createManyChanges(), 1000, undefined, Infinity, 300)
    expect([immediate.calls.length, delayed.calls.length]).toEqual([52, 5])
  })

  it('backs off while the store does not answer', async () => {
    const { calls } = await doTest([], [], 4000)
    expect(calls.length).toBeLessThan(20)
    expect(calls.length).toBeGreaterThan(3)
  })

  it('reads all keys again when the store has returned from an older copy, although the revision exists there', async () => {
    const restoredChanges: ChangesResult = Result.ok({ position: at(8, 2), items: [createItem('c', 8, 2)] })
    const restoredPage: PageResult = Result.ok({ position: at(8, 2), items: [createItem('b', 7, 2), createItem('c', 8, 2)] })
    const { view, calls } = await doTest([createPage(5, 'a'), restoredPage], [createChanges(6), restoredChanges])
    expect(view.listItems().map(({ key }) => key)).toEqual(['b', 'c'])
    expect(calls.slice(3)).toEqual(["page after ''", 'watch after 8 at once', 'watch after 8'])
  })

  it('reads all keys again when the store returns from an older copy between two pages', async () => {
    const firstPage: PageResult = Result.ok({ position: at(5), items: [createItem('a', 5)], nextAfter: 'a' })
    const restoredPage = (key: string, nextAfter?: string): PageResult => Result.ok({ position: at(3, 2), items: [createItem(key, 3, 2)], nextAfter })
    const { view } = await doTest([firstPage, restoredPage('b'), restoredPage('b')], [])
    expect(view.listItems()).toEqual([createItem('b', 3, 2)])
  })

  it('ignores an answer from before the store returned from an older copy', async () => {
    const restoredPage: PageResult = Result.ok({ position: at(3, 2), items: [createItem('b', 3, 2)] })
    const { view } = await doTest([restoredPage], [createChanges(9, 'a')])
    expect([view.getPosition(), view.listItems()]).toEqual([at(3, 2), [createItem('b', 3, 2)]])
  })

  it('delays its calls when the history is lost again before the store has answered', async () => {
    const { calls } = await doTest(Array.from({ length: 50 }, () => createPage(5, 'a')), Array.from({ length: 50 }, () => Result.err('compacted')), 1000)
    expect(calls.length).toBeLessThan(15)
  })
})

describe('PublishedWatcher on a connection that went silent', () => {
  /** Time after which a disruption no longer excuses an instance that uses old keys, in milliseconds. */
  const EXCUSED_MS = 3000

  const SILENT_PEERS_MS = 1500

  /** Returns how long after the silence began a key arrived that was written then. The silence ends with the first new connection. */
  async function doTest (silentAtMs: number): Promise<number> {
    const clock = VirtualClock.create()
    const view = PublishedView.create()
    let isConnectionNew = false
    const source: PublishedSource = {
      fetchPage: async () => createPage(5, 'a'),
      watchChanges: async (after, { waitMs, answerTimeoutMs, signal }) => {
        if (isConnectionNew && after < 6) return createChanges(6, 'b')
        const isAnswered = isConnectionNew || clock.nowMs() + waitMs < silentAtMs
        await clock.sleep(isAnswered ? waitMs : waitMs + answerTimeoutMs, signal)
        isConnectionNew ||= !isAnswered
        return isAnswered ? createChanges(after) : Result.err('timeout')
      }
    }
    const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
    const fetchFromPeers = async (): Promise<boolean> => {
      await clock.sleep(SILENT_PEERS_MS)
      return false
    }
    let arrivedAtMs = Infinity
    view.addListener(items => { if (items.some(({ key }) => key === 'b')) arrivedAtMs = clock.nowMs() })
    const watcher = PublishedWatcher.create({ view, source, clock, random: SeededRandom.create(1), log, fetchFromPeers })
    watcher.run()
    await clock.advance(silentAtMs + 10_000)
    watcher.stop()
    return arrivedAtMs - silentAtMs
  }

  it('gets changes before its disruption no longer excuses old keys', async () => {
    const arrivals = await Promise.all(Array.from({ length: 40 }, async (_, index) => await doTest(1000 + index * 100)))
    expect(Math.max(...arrivals)).toBeLessThan(EXCUSED_MS)
  })
})
