import { type Clock } from '@fescuespoke/common'
import { type PublishedChange, type PublishedValues } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { RateLimiter } from '../limits/RateLimiter.js'
import { ChangeNotifier } from '../notifier/ChangeNotifier.js'

/** Options of the configuration service. */
export interface ConfigurationCoreOptions {
  readonly clock: Clock
  /** Maximum number of calls per second over all clients. A watch counts as one call. */
  readonly readsPerSecond?: number
}

/** Change of one key. The key is deleted if the value is absent. */
export interface ValueChange {
  readonly key: string
  readonly value?: string
}

interface LoggedChange extends ValueChange {
  readonly revision: number
}

const DEFAULT_READS_PER_SECOND = 2000
const RATE_INTERVAL_MS = 1000
const MAX_VALUE_BYTES = 1_048_576

/** Configuration service, independent of HTTP. The system reads and watches it; tests publish through its methods. */
export class ConfigurationCore {
  /**
   * Creates a service with revision 0 and no values.
   * @param options - Options of the service.
   */
  static create (options: ConfigurationCoreOptions): ConfigurationCore {
    return new ConfigurationCore(options)
  }

  private readonly changeLog: LoggedChange[] = []
  private readonly limiter: RateLimiter
  private readonly changeNotifier: ChangeNotifier
  private revision = 0
  private servedRevision: number | undefined
  private isDown = false

  /** @internal */
  private constructor (options: ConfigurationCoreOptions) {
    this.changeNotifier = ChangeNotifier.create({ clock: options.clock })
    this.limiter = RateLimiter.create({
      clock: options.clock,
      limit: options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      intervalMs: RATE_INTERVAL_MS
    })
  }

  /** Returns the latest revision, even if an older one is served. */
  getRevision (): number {
    return this.revision
  }

  /** Returns the number of pending watches. */
  getPendingWatchCount (): number {
    return this.changeNotifier.getWaiterCount()
  }

  /** Returns the number of calls so far. */
  getCallCount (): number {
    return this.limiter.getCallCount()
  }

  /** Returns the number of calls rejected by the rate limit. */
  getRejectedCount (): number {
    return this.limiter.getRejectedCount()
  }

  /**
   * Replaces all values in one revision.
   * @param values - All values by key.
   * @returns The new revision, or an error message if a value is too large.
   */
  publish (values: Readonly<Record<string, string>>): Result<number, string> {
    const currentValues = this.listValues(this.revision)
    const deleted = [...currentValues.keys()].filter(key => !(key in values)).map(key => ({ key }))
    const changed = Object.entries(values)
      .filter(([key, value]) => currentValues.get(key) !== value)
      .map(([key, value]) => ({ key, value }))
    return this.applyChanges([...deleted, ...changed])
  }

  /**
   * Sets or deletes one key in a new revision.
   * @param key - The key.
   * @param value - New value; if absent, the key is deleted.
   * @returns The new revision, or an error message if the value is too large.
   */
  setValue (key: string, value?: string): Result<number, string> {
    return this.applyChanges([{ key, value }])
  }

  /**
   * Applies several changes in one revision.
   * @param changes - The changes.
   * @returns The new revision, or an error message if a value is too large.
   */
  applyChanges (changes: readonly ValueChange[]): Result<number, string> {
    const oversized = changes.find(({ value }) => Buffer.byteLength(value ?? '') > MAX_VALUE_BYTES)
    if (oversized !== undefined) return Result.err(`${oversized.key}: larger than ${MAX_VALUE_BYTES} bytes`)
    this.revision++
    for (const { key, value } of changes) this.changeLog.push({ key, value, revision: this.revision })
    this.changeNotifier.notifyAll()
    return Result.ok(this.revision)
  }

  /**
   * Makes the service unavailable or available again. While it is unavailable, it rejects all calls.
   * @param isDown - Whether the service is unavailable.
   */
  setDown (isDown: boolean): void {
    this.isDown = isDown
    this.changeNotifier.notifyAll()
  }

  /**
   * Keeps serving the current revision while later ones are published, or serves the latest revision again.
   * @param isStale - Whether later revisions are withheld.
   */
  setStale (isStale: boolean): void {
    this.servedRevision = isStale ? this.getServedRevision() : undefined
    this.changeNotifier.notifyAll()
  }

  /**
   * Serves an older revision, like a replica that lags behind.
   * @param revision - Revision to serve; the latest one if it is not published yet.
   */
  serveRevision (revision: number): void {
    this.servedRevision = Math.min(revision, this.revision)
    this.changeNotifier.notifyAll()
  }

  /** Returns all values of the served revision, or the error response if the call is rejected. */
  readSnapshot (): Result<PublishedValues, ErrorResponse> {
    return this.admitCall().map(() => {
      const revision = this.getServedRevision()
      return { revision, values: Object.fromEntries(this.listValues(revision)) }
    })
  }

  /**
   * Waits for changes after a revision.
   * @param after - Revision that the client has.
   * @param waitMs - Maximum time to wait in milliseconds.
   * @param signal - Ends the wait early.
   * @returns The changes after the revision, empty if the wait ended without one, or the error response of a rejection.
   */
  async watch (after: number, waitMs: number, signal?: AbortSignal): Promise<Result<PublishedChange, ErrorResponse>> {
    const admitted = this.admitCall()
    if (admitted.isErr) return admitted.cast()
    await this.changeNotifier.waitUntil(waitMs, () => this.isDown || this.getServedRevision() > after, signal)
    if (this.isDown) return Result.err(DOWN_ERROR)
    return Result.ok({ revision: this.getServedRevision(), changed: this.listChanges(after) })
  }

  private admitCall (): Result<void, ErrorResponse> {
    if (!this.limiter.tryAcquire()) return Result.err({ status: 429, error: 'tooManyReads' })
    return this.isDown ? Result.err(DOWN_ERROR) : Result.ok(undefined)
  }

  private getServedRevision (): number {
    return this.servedRevision ?? this.revision
  }

  private listValues (revision: number): Map<string, string> {
    const values = new Map<string, string>()
    for (const change of this.changeLog) {
      if (change.revision > revision) break
      if (change.value === undefined) values.delete(change.key)
      else values.set(change.key, change.value)
    }
    return values
  }

  /** Returns the latest change of each key after a revision and up to the served one. */
  private listChanges (after: number): PublishedChange['changed'] {
    const latest = new Map<string, ValueChange>()
    const served = this.getServedRevision()
    for (let index = this.changeLog.length - 1; index >= 0; index--) {
      const { revision, key, value } = this.changeLog[index] as LoggedChange
      if (revision <= after) break
      if (revision <= served && !latest.has(key)) latest.set(key, value === undefined ? { key } : { key, value })
    }
    return [...latest.values()].reverse()
  }
}

const DOWN_ERROR: ErrorResponse = { status: 503, error: 'down' }
