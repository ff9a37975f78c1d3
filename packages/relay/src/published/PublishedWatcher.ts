import { addJitter, type Clock, type Random } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { MAX_IDLE_CONNECTION_MS, type PublishedError, type PublishedSource } from './PublishedItem.js'
import { type PublishedView } from './PublishedView.js'
import { readPages } from './readPages.js'

/** Options of a published watcher. */
export interface PublishedWatcherOptions {
  readonly view: PublishedView
  readonly source: PublishedSource
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  /** Maximum time that the store waits for changes in one watch, in milliseconds. */
  readonly watchTimeoutMs?: number
  /** Returns whether this instance may skip watching because peers watch the store. */
  readonly canSkipWatch?: () => boolean
  /** Returns the delay after the answer to a watch, in milliseconds; peers watch in the meantime. */
  readonly getWatchDelayMs?: () => number
  /** Fetches changes from peers when the store does not answer; returns whether a peer answered. */
  readonly fetchFromPeers?: () => Promise<boolean>
}

/**
 * Default wait of a watch, and time without any byte of its answer after which it counts as lost, in milliseconds. Together with the delay of the
 * next attempt, they bound the time for which a connection that has gone silent hides changes.
 */
export const DEFAULT_WATCH_TIMEOUT_MS = 1500
export const WATCH_ANSWER_TIMEOUT_MS = 700

/** Maximum sum of the idle time of a connection and the wait of the next watch on it, in milliseconds; it may go silent during both. */
export const MAX_WATCH_PERIOD_MS = 1700

/** Time after which an idle connection should be closed up to which it may still be in use, in milliseconds. */
const CLOSE_TOLERANCE_MS = 200

/** First and maximum delay of the next attempt while the store does not answer, in milliseconds, before they are randomized. */
export const FIRST_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 800

/** Number of failures after which the delay no longer grows. */
const MAX_BACKOFF_FAILURES = 8

/** Interval at which an instance that skips watching checks whether it still may, in milliseconds. */
export const SKIP_CHECK_INTERVAL_MS = 100

/** Delay beyond the watch timeout after which the view counts as stale, in milliseconds. */
const ANSWER_DELAY_TOLERANCE_MS = 300

/** Errors after which all keys are read again. */
const HISTORY_ERRORS: ReadonlySet<PublishedError> = new Set(['compacted', 'restored'])

/** Keeps the view up to date with the store: reads all keys once, then watches for changes from the revision of that read. */
export class PublishedWatcher {
  /**
   * Creates a watcher that is not running.
   * @param options - Options of the watcher.
   */
  static create (options: PublishedWatcherOptions): PublishedWatcher {
    return new PublishedWatcher(options)
  }

  private readonly stopController = new AbortController()
  private watchController = new AbortController()
  private needsFullRead = true
  /** Whether the history was lost since the last answer; a second loss counts as a failure, so that it is retried with a delay. */
  private wasHistoryLost = false
  private needsConfirmation = false
  /** Whether the next call has to be answered at once; unlike `needsConfirmation`, it does not make the view stale. */
  private isAnswerRequested = false
  /** Clock reading at which the answer to the current call began to arrive. */
  private arrivalStartedAtMs: number | undefined
  /** Clock reading up to which the view has everything that was published. */
  private currentAtMs = -Infinity
  private failures = 0
  private lastAnswerAtMs = -Infinity
  /** Clock reading at which the last call that was answered was made. */
  private answeredCallAtMs = -Infinity
  private outageEndMs = -Infinity

  /** @internal */
  private constructor (private readonly options: PublishedWatcherOptions) {}

  /** Reads and watches the store until stopped. */
  async run (): Promise<void> {
    while (!this.stopController.signal.aborted) {
      if (this.shouldSkipWatch()) {
        await this.options.clock.sleep(SKIP_CHECK_INTERVAL_MS, this.stopController.signal)
        continue
      }
      this.watchController = new AbortController()
      const calledAtMs = this.options.clock.nowMs()
      this.arrivalStartedAtMs = undefined
      const outcome = await this.callStore()
      if (this.stopController.signal.aborted) return
      if (outcome.isOk) await this.handleAnswer(calledAtMs)
      else if (!this.watchController.signal.aborted) await this.handleError(outcome.error)
    }
  }

  /** Returns whether the store answered the last call and all keys were read. */
  isStoreAvailable (): boolean {
    return this.failures === 0 && !this.needsFullRead
  }

  /** Returns whether the store may contain changes that this process has not received because it does not answer in time. */
  isStale (): boolean {
    const isSkippingWatch = this.shouldSkipWatch()
    return !this.isStoreAvailable() || this.needsConfirmation || (!isSkippingWatch && this.getAgeMs() > this.getWatchTimeoutMs() + ANSWER_DELAY_TOLERANCE_MS)
  }

  /** Returns the age of the last answer of the store, in milliseconds. */
  getAgeMs (): number {
    return this.options.clock.nowMs() - this.lastAnswerAtMs
  }

  /** Returns the time since this process last saw an outage of the store, in milliseconds; 0 during an outage. */
  getTimeSinceOutageMs (): number {
    return this.failures > 0 ? 0 : this.options.clock.nowMs() - this.outageEndMs
  }

  /** Requests a new answer of the store at once; after a process pause, the answer to the current watch may never arrive. */
  refresh (): void {
    this.needsConfirmation = true
    this.watchController.abort()
  }

  /**
   * Returns whether a call that was made at a time or later has been answered, so that the view has everything published before.
   * Requests such a call unless one is due.
   * @param atMs - Clock reading.
   */
  hasAnswerSince (atMs: number): boolean {
    if (this.answeredCallAtMs >= atMs) return true
    this.requestAnswer()
    return false
  }

  /** Returns the time since the store stated what the view has, in milliseconds, including that of the transfer; `Infinity` during an outage. */
  getKnowledgeAgeMs (): number {
    return this.isStoreAvailable() ? this.options.clock.nowMs() - this.currentAtMs : Infinity
  }

  /** Records that the store has returned from an older copy, which ends its previous data like an outage. */
  recordRestore (): void {
    this.outageEndMs = this.options.clock.nowMs()
  }

  /** Stops the watcher. */
  stop (): void {
    this.stopController.abort()
    this.watchController.abort()
  }

  /** Ends a watch that waits for changes; an answer that is arriving is not thrown away. */
  private requestAnswer (): void {
    if (this.isAnswerRequested) return
    this.isAnswerRequested = true
    if (this.arrivalStartedAtMs === undefined && !this.needsConfirmation) this.watchController.abort()
  }

  private getWatchTimeoutMs (): number {
    return this.options.watchTimeoutMs ?? DEFAULT_WATCH_TIMEOUT_MS
  }

  private computeWaitMs (): number {
    const idleMs = this.getAgeMs()
    const usesNewConnection = idleMs >= MAX_IDLE_CONNECTION_MS + CLOSE_TOLERANCE_MS
    return usesNewConnection ? this.getWatchTimeoutMs() : Math.min(this.getWatchTimeoutMs(), MAX_WATCH_PERIOD_MS - idleMs)
  }

  private shouldSkipWatch (): boolean {
    return !this.needsFullRead && !this.needsConfirmation && !this.isAnswerRequested && this.options.canSkipWatch?.() === true
  }

  /** Calls the store and applies its answer. An error while a change is applied concerns that change; the next ones are still watched. */
  private async callStore (): Promise<Result<unknown, PublishedError>> {
    try {
      return this.needsFullRead ? await this.readAll() : await this.watch()
    } catch (error) {
      this.options.log.recordStateChange('changes not applied', { error: (error as Error).message, ...this.options.view.getPosition() })
      return Result.err('malformed')
    }
  }

  private async readAll (): Promise<Result<unknown, PublishedError>> {
    const { view, source, clock, log } = this.options
    const read = await readPages({ source, clock, log, signal: this.stopController.signal })
    if (read.isErr) return read
    const { items, position } = read.value
    const held = view.getPosition()
    view.applyFullRead(items, position)
    this.needsFullRead = false
    log.recordStateChange('published keys read', { keys: items.length, ...position, heldEra: held.era, heldRevision: held.revision })
    return await this.watchOnce(0)
  }

  private async watch (): Promise<Result<unknown, PublishedError>> {
    // After an outage, the store must answer immediately; waiting for changes would delay the detection of its recovery.
    const needsImmediateAnswer = this.needsConfirmation || this.isAnswerRequested || this.failures > 0
    return await this.watchOnce(needsImmediateAnswer ? 0 : this.computeWaitMs())
  }

  private async watchOnce (waitMs: number): Promise<Result<unknown, PublishedError>> {
    const { source, view } = this.options
    const { revision, era } = view.getPosition()
    const changes = await source.watchChanges(revision, {
      waitMs,
      answerTimeoutMs: WATCH_ANSWER_TIMEOUT_MS,
      onArrival: () => { this.arrivalStartedAtMs = this.options.clock.nowMs() },
      signal: this.watchController.signal
    })
    if (changes.isErr) return changes
    const { items, position } = changes.value
    // The revision may have been given out again in another era, so that changes before it were missed.
    if (position.era !== era) return Result.err(position.era > era ? 'restored' : 'outdated')
    view.applyChanges(items, position)
    return changes
  }

  private async handleAnswer (calledAtMs: number): Promise<void> {
    this.answeredCallAtMs = calledAtMs
    this.currentAtMs = this.arrivalStartedAtMs ?? calledAtMs
    this.arrivalStartedAtMs = undefined
    this.isAnswerRequested = false
    this.recordAnswer()
    const delayMs = this.options.getWatchDelayMs?.() ?? 0
    if (delayMs > 0) await this.options.clock.sleep(delayMs, this.watchController.signal)
  }

  private recordAnswer (): void {
    const { clock, log } = this.options
    this.lastAnswerAtMs = clock.nowMs()
    this.needsConfirmation = false
    this.wasHistoryLost = false
    if (this.failures === 0) return
    this.outageEndMs = clock.nowMs()
    log.recordStateChange('store regained', { failures: this.failures })
    this.failures = 0
  }

  private async handleError (error: PublishedError): Promise<void> {
    const { clock, random, log, fetchFromPeers, view } = this.options
    if (HISTORY_ERRORS.has(error)) {
      this.needsFullRead = true
      log.recordStateChange('history of the store lost', { error, ...view.getPosition() })
      if (!this.wasHistoryLost) {
        this.wasHistoryLost = true
        return
      }
    }
    if (this.failures === 0) log.recordStateChange('store lost', { error, ageMs: Math.round(this.getAgeMs()) })
    this.failures++
    // Not awaited: peers may be silent as well, and the store may answer on a new connection.
    fetchFromPeers?.()
    const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (Math.min(this.failures, MAX_BACKOFF_FAILURES) - 1))
    await clock.sleep(addJitter(random, backoffMs), this.stopController.signal)
  }
}
