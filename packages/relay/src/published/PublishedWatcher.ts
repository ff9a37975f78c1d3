import { addJitter, type Clock, type Random } from '@fescuespoke/common'
import { type Result } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type PublishedChanges, type PublishedError, type PublishedItem, type PublishedSource } from './PublishedItem.js'
import { type PublishedView } from './PublishedView.js'

/** Options of a follower. */
export interface PublishedWatcherOptions {
  readonly view: PublishedView
  readonly source: PublishedSource
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  /** Longest wait of one watch in milliseconds. */
  readonly watchTimeoutMs?: number
  /** Tells whether peers watch for this instance at present. */
  readonly canSkipWatch?: () => boolean
  /** Gets the time to rest after a watch was answered, in milliseconds: others watch meanwhile. */
  readonly getWatchDelayMs?: () => number
  /** Fetches what a peer knows when the store does not answer; returns whether a peer answered. */
  readonly fetchFromPeers?: () => Promise<boolean>
}

const DEFAULT_WATCH_TIMEOUT_MS = 2500

/** Waits between attempts while the store does not answer. */
const MIN_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 800

/** Interval at which an instance that rests looks whether it still may, in milliseconds. */
const SKIP_CHECK_INTERVAL_MS = 200

/** Time by which a watch may answer late before the view counts as doubtful, in milliseconds. */
const ANSWER_DELAY_TOLERANCE_MS = 300

/** Pages of one complete reading; a longer one is given up. */
const MAX_PAGES = 200

/** Keeps the view at what the store publishes: one complete reading, then watches from its revision. */
export class PublishedWatcher {
  /**
   * Creates a follower that does not run yet.
   * @param options - Options of the follower.
   */
  static create (options: PublishedWatcherOptions): PublishedWatcher {
    return new PublishedWatcher(options)
  }

  private readonly stopping = new AbortController()
  private watchAbort = new AbortController()
  private needsFullRead = true
  private needsConfirmation = false
  private failures = 0
  private lastAnswerAtMs = -Infinity
  private outageEndMs = -Infinity

  /** @internal */
  private constructor (private readonly options: PublishedWatcherOptions) {}

  /** Runs until stopped. */
  async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      if (this.shouldSkipWatch()) {
        await this.options.clock.sleep(SKIP_CHECK_INTERVAL_MS, this.stopping.signal)
        continue
      }
      this.watchAbort = new AbortController()
      const outcome = this.needsFullRead ? await this.readAll() : await this.watch()
      if (this.stopping.signal.aborted) return
      if (outcome.isOk) await this.handleAnswer()
      else if (!this.watchAbort.signal.aborted) await this.handleError(outcome.error)
    }
  }

  /** Tells whether the store answered the last call. */
  isStoreAvailable (): boolean {
    return this.failures === 0 && !this.needsFullRead
  }

  /** Tells whether something may have been published that this process does not know: the store does not answer in time. */
  isStale (): boolean {
    const isSkippingWatch = this.shouldSkipWatch()
    return !this.isStoreAvailable() || this.needsConfirmation || (!isSkippingWatch && this.getAgeMs() > this.getWatchTimeoutMs() + ANSWER_DELAY_TOLERANCE_MS)
  }

  /** Gets the age in milliseconds of the last answer of the store. */
  getAgeMs (): number {
    return this.options.clock.nowMs() - this.lastAnswerAtMs
  }

  /** Gets the time in milliseconds since the store was last in trouble as this process sees it; 0 while it is. */
  getTimeSinceOutageMs (): number {
    return this.failures > 0 ? 0 : this.options.clock.nowMs() - this.outageEndMs
  }

  /** Asks the store anew at once: the process was paused, and what it waits for may never come. */
  refresh (): void {
    this.needsConfirmation = true
    this.watchAbort.abort()
  }

  /** Stops reading. */
  stop (): void {
    this.stopping.abort()
    this.watchAbort.abort()
  }

  private getWatchTimeoutMs (): number {
    return this.options.watchTimeoutMs ?? DEFAULT_WATCH_TIMEOUT_MS
  }

  private shouldSkipWatch (): boolean {
    return !this.needsFullRead && !this.needsConfirmation && this.options.canSkipWatch?.() === true
  }

  private async readAll (): Promise<Result<unknown, PublishedError>> {
    const { source, view } = this.options
    const items: PublishedItem[] = []
    let after = ''
    let revision: number | undefined
    for (let page = 0; page < MAX_PAGES; page++) {
      const answer = await source.fetchPage(after)
      if (answer.isErr) return answer
      revision ??= answer.value.revision
      items.push(...answer.value.items)
      if (answer.value.nextAfter === undefined) break
      after = answer.value.nextAfter
    }
    view.applyFullRead(items, revision ?? 0)
    this.needsFullRead = false
    this.options.log.recordStateChange('published keys read', { keys: items.length, revision })
    return await this.watchOnce(0)
  }

  private async watch (): Promise<Result<unknown, PublishedError>> {
    // A store that was away is asked for an answer at once: an answer that it holds back would tell of its return late.
    const needsImmediateAnswer = this.needsConfirmation || this.failures > 0
    return await this.watchOnce(needsImmediateAnswer ? 0 : this.getWatchTimeoutMs())
  }

  private async watchOnce (waitMs: number): Promise<Result<PublishedChanges, PublishedError>> {
    const { source, view } = this.options
    const changes = await source.watchChanges(view.getRevision(), waitMs, this.watchAbort.signal)
    if (changes.isOk) view.applyChanges(changes.value.items, changes.value.revision)
    return changes
  }

  private async handleAnswer (): Promise<void> {
    this.recordAnswer()
    const delayMs = this.options.getWatchDelayMs?.() ?? 0
    if (delayMs > 0) await this.options.clock.sleep(delayMs, this.watchAbort.signal)
  }

  private recordAnswer (): void {
    const { clock, log } = this.options
    this.lastAnswerAtMs = clock.nowMs()
    this.needsConfirmation = false
    if (this.failures === 0) return
    this.outageEndMs = clock.nowMs()
    log.recordStateChange('store regained', { failures: this.failures })
    this.failures = 0
  }

  private async handleError (error: PublishedError): Promise<void> {
    const { clock, random, log, fetchFromPeers } = this.options
    if (error === 'compacted') {
      this.needsFullRead = true
      log.recordStateChange('history of the store lost', { revision: this.options.view.getRevision() })
      return
    }
    if (this.failures === 0) log.recordStateChange('store lost', { error, ageMs: Math.round(this.getAgeMs()) })
    this.failures++
    await fetchFromPeers?.()
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(this.failures, 8))
    await clock.sleep(addJitter(random, backoffMs), this.stopping.signal)
  }
}
