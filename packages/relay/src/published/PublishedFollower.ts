import { addJitter, type Clock, type Random } from '@fescuespoke/common'
import { type Result } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type PublishedChanges, type PublishedError, type PublishedItem, type PublishedSource } from './PublishedItem.js'
import { type PublishedView } from './PublishedView.js'

/** Options of a follower. */
export interface PublishedFollowerOptions {
  readonly view: PublishedView
  readonly source: PublishedSource
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  /** Longest wait of one watch in milliseconds. */
  readonly watchMs?: number
  /** Tells whether peers watch for this instance at present. */
  readonly mayRest?: () => boolean
  /** Gets the time to rest after a watch was answered, in milliseconds: others watch meanwhile. */
  readonly getRestMs?: () => number
  /** Fetches what a peer knows when the store does not answer; returns whether a peer answered. */
  readonly askPeers?: () => Promise<boolean>
}

const DEFAULT_WATCH_MS = 2500

/** Waits between attempts while the store does not answer. */
const MIN_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 800

/** Interval at which an instance that rests looks whether it still may, in milliseconds. */
const REST_MS = 200

/** Time by which a watch may answer late before the view counts as doubtful, in milliseconds. */
const DOUBT_MS = 300

/** Pages of one complete reading; a longer one is given up. */
const MAX_PAGES = 200

/** Keeps the view at what the store publishes: one complete reading, then watches from its revision. */
export class PublishedFollower {
  /**
   * Creates a follower that does not run yet.
   * @param options - Options of the follower.
   */
  static create (options: PublishedFollowerOptions): PublishedFollower {
    return new PublishedFollower(options)
  }

  private readonly stopping = new AbortController()
  private watching = new AbortController()
  private mustRead = true
  private mustConfirm = false
  private failures = 0
  private confirmedAtMs = -Infinity
  private troubleEndMs = -Infinity

  /** @internal */
  private constructor (private readonly options: PublishedFollowerOptions) {}

  /** Runs until stopped. */
  async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      if (this.canRest()) {
        await this.options.clock.sleep(REST_MS, this.stopping.signal)
        continue
      }
      this.watching = new AbortController()
      const outcome = this.mustRead ? await this.readAll() : await this.watch()
      if (this.stopping.signal.aborted) return
      if (outcome.isOk) await this.restAfterAnswer()
      else if (!this.watching.signal.aborted) await this.handleError(outcome.error)
    }
  }

  /** Tells whether the store answered the last call. */
  isWell (): boolean {
    return this.failures === 0 && !this.mustRead
  }

  /** Tells whether something may have been published that this process does not know: the store does not answer in time. */
  isDoubtful (): boolean {
    const isResting = this.canRest()
    return !this.isWell() || this.mustConfirm || (!isResting && this.getAgeMs() > this.getWatchMs() + DOUBT_MS)
  }

  /** Gets the age in milliseconds of the last answer of the store. */
  getAgeMs (): number {
    return this.options.clock.nowMs() - this.confirmedAtMs
  }

  /** Gets the time in milliseconds since the store was last in trouble as this process sees it; 0 while it is. */
  getCalmMs (): number {
    return this.failures > 0 ? 0 : this.options.clock.nowMs() - this.troubleEndMs
  }

  /** Asks the store anew at once: the process was paused, and what it waits for may never come. */
  refresh (): void {
    this.mustConfirm = true
    this.watching.abort()
  }

  /** Stops reading. */
  stop (): void {
    this.stopping.abort()
    this.watching.abort()
  }

  private getWatchMs (): number {
    return this.options.watchMs ?? DEFAULT_WATCH_MS
  }

  private canRest (): boolean {
    return !this.mustRead && !this.mustConfirm && this.options.mayRest?.() === true
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
    view.applyReading(items, revision ?? 0)
    this.mustRead = false
    this.options.log.recordBelief('published keys read', { keys: items.length, revision })
    return await this.watchOnce(0)
  }

  private async watch (): Promise<Result<unknown, PublishedError>> {
    // A store that was away is asked for an answer at once: an answer that it holds back would tell of its return late.
    const mustAnswer = this.mustConfirm || this.failures > 0
    return await this.watchOnce(mustAnswer ? 0 : this.getWatchMs())
  }

  private async watchOnce (waitMs: number): Promise<Result<PublishedChanges, PublishedError>> {
    const { source, view } = this.options
    const changes = await source.watchChanges(view.getRevision(), waitMs, this.watching.signal)
    if (changes.isOk) view.applyChanges(changes.value.items, changes.value.revision)
    return changes
  }

  private async restAfterAnswer (): Promise<void> {
    this.observeAnswer()
    const restMs = this.options.getRestMs?.() ?? 0
    if (restMs > 0) await this.options.clock.sleep(restMs, this.watching.signal)
  }

  private observeAnswer (): void {
    const { clock, log } = this.options
    this.confirmedAtMs = clock.nowMs()
    this.mustConfirm = false
    if (this.failures === 0) return
    this.troubleEndMs = clock.nowMs()
    log.recordBelief('store regained', { failures: this.failures })
    this.failures = 0
  }

  private async handleError (error: PublishedError): Promise<void> {
    const { clock, random, log, askPeers } = this.options
    if (error === 'compacted') {
      this.mustRead = true
      log.recordBelief('history of the store lost', { revision: this.options.view.getRevision() })
      return
    }
    if (this.failures === 0) log.recordBelief('store lost', { error, ageMs: Math.round(this.getAgeMs()) })
    this.failures++
    await askPeers?.()
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(this.failures, 8))
    await clock.sleep(addJitter(random, backoffMs), this.stopping.signal)
  }
}
