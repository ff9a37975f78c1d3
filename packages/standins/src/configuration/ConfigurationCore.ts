import { type Clock } from '@fescuespoke/common'
import { type PublishedChange, type PublishedValues } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { RateLimiter } from '../limits/RateLimiter.js'
import { ChangeNotifier } from '../notifier/ChangeNotifier.js'

/** Options of the configuration service. */
export interface ConfigurationCoreOptions {
  readonly clock: Clock
  /** Calls allowed in each second over all readers; a watch counts as one. */
  readonly readsPerSecond?: number
}

/** A new value of a key; the key is deleted when the value is absent. */
export interface ValueChange {
  readonly key: string
  readonly value?: string
}

interface LoggedChange extends ValueChange {
  readonly revision: number
}

const DEFAULT_READS_PER_SECOND = 2000
const RATE_INTERVAL_MS = 1000
/** Largest value in bytes. */
const MAX_VALUE_BYTES = 1_048_576

/** A configuration service that can only be read and watched by the system; tests publish through its methods. */
export class ConfigurationCore {
  /**
   * Creates a service at revision 0 without values.
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

  /** Gets the latest revision, whether or not it is served. */
  getRevision (): number {
    return this.revision
  }

  /** Gets the number of watches that wait. */
  getPendingWatchCount (): number {
    return this.changeNotifier.getWaiterCount()
  }

  /** Gets the number of calls so far. */
  getCallCount (): number {
    return this.limiter.getCallCount()
  }

  /** Gets the number of calls refused because of the rate. */
  getRejectedCount (): number {
    return this.limiter.getRejectedCount()
  }

  /**
   * Replaces all values in one revision and returns its number.
   * @param values - All values.
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
   * Changes one value in one revision and returns its number.
   * @param key - The key.
   * @param value - The new value; the key is deleted when absent.
   */
  amend (key: string, value?: string): Result<number, string> {
    return this.applyChanges([{ key, value }])
  }

  /**
   * Changes several values in one revision and returns its number.
   * @param changes - The changes.
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
   * Refuses all calls, or serves them again.
   * @param isDown - Whether it is down.
   */
  setDown (isDown: boolean): void {
    this.isDown = isDown
    this.changeNotifier.notifyAll()
  }

  /**
   * Goes on serving the revision of now while later ones are published, or serves the latest again.
   * @param isStale - Whether it is stale.
   */
  setStale (isStale: boolean): void {
    this.servedRevision = isStale ? this.getServedRevision() : undefined
    this.changeNotifier.notifyAll()
  }

  /**
   * Serves an older revision, as a reader that lags behind would see it.
   * @param revision - The revision.
   */
  serveOlder (revision: number): void {
    this.servedRevision = Math.min(revision, this.revision)
    this.changeNotifier.notifyAll()
  }

  /** Reads all values of the served revision. */
  readSnapshot (): Result<PublishedValues, ErrorResponse> {
    return this.admitCall().map(() => {
      const revision = this.getServedRevision()
      return { revision, values: Object.fromEntries(this.listValues(revision)) }
    })
  }

  /**
   * Waits for changes after a revision.
   * @param after - Revision that the reader has.
   * @param waitMs - Longest wait in milliseconds.
   * @param signal - Ends the wait early.
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

  /** Lists the latest change of each key between a revision and the served one. */
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
