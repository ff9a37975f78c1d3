import { type AuditEntry, type AuditTrail, type MetricsRegistry } from '@fescuespoke/common'
import { type PlacementRefusal } from '@fescuespoke/scheduling'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { computeFingerprint } from './computeFingerprint.js'
import { type CrashDetector, type Loss } from './CrashDetector.js'
import { type CrashRecords } from './CrashRecords.js'
import { findHarmfulRequests, type HarmfulRequest } from './findHarmfulRequests.js'
import { type TrialTurns } from './TrialTurns.js'

/** Options of harmful requests. */
export interface HarmfulRequestsOptions {
  readonly records: CrashRecords
  readonly detector: CrashDetector
  readonly turns: TrialTurns
  readonly audit: AuditTrail
  readonly metrics: MetricsRegistry
  /** Returns the accepted revision of the configuration, for the audit trail. */
  readonly getRevision: () => number
}

/** Watch on a request that waits for a target. */
export interface WaitWatch {
  /** Aborts when the request is found to be harmful. */
  readonly signal: AbortSignal
  /** Ends the watch. */
  stop(): void
}

/** Keeps requests from targets that would crash one target after the other, however often and wherever they are submitted. */
export class HarmfulRequests {
  /**
   * Creates the requests, none of them known to be harmful.
   * @param options - Options.
   */
  static create (options: HarmfulRequestsOptions): HarmfulRequests {
    return new HarmfulRequests(options)
  }

  /** Harmful requests by fingerprint. */
  private known: ReadonlyMap<string, HarmfulRequest> = new Map()
  /** Requests that wait for a target. */
  private readonly waiting = new Map<RequestEntry, AbortController>()

  /** @internal */
  private constructor (private readonly options: HarmfulRequestsOptions) {
    options.records.addListener(() => this.update())
  }

  /**
   * Returns why a request must not be sent to a target; undefined if it may.
   * @param entry - The request.
   */
  findRefusal (entry: RequestEntry): PlacementRefusal | undefined {
    if (this.known.size === 0) return undefined
    const harmful = this.known.get(computeFingerprint(entry))
    if (harmful === undefined || this.options.turns.takeTurn(harmful, entry.options.id)) return undefined
    return {
      reason: 'crashesTargets',
      retryAfterMs: Math.ceil(this.options.turns.getWaitMs(harmful)),
      detail: `${harmful.crashes} targets crashed under the same request`
    }
  }

  /**
   * Watches a request while it waits for a target.
   * @param entry - The request.
   */
  watchWait (entry: RequestEntry): WaitWatch {
    const abort = new AbortController()
    this.waiting.set(entry, abort)
    return { signal: abort.signal, stop: () => { this.waiting.delete(entry) } }
  }

  /**
   * Records that a run of a request was lost at a target, and finds out whether the target crashed.
   * @param entry - The request.
   * @param loss - The loss.
   * @returns Resolves to whether the target crashed.
   */
  async recordLoss (entry: RequestEntry, loss: Loss): Promise<boolean> {
    const fingerprint = computeFingerprint(entry)
    const hasCrashed = await this.options.detector.recordLoss(fingerprint, loss)
    if (hasCrashed) entry.recordStep('targetCrashed', `${loss.target.name}, fingerprint ${fingerprint}`)
    return hasCrashed
  }

  /**
   * Records that a target answered a request completely.
   * @param entry - The request.
   */
  recordCompletion (entry: RequestEntry): void {
    if (!this.options.records.isEmpty()) this.options.records.recordCompletion(computeFingerprint(entry))
  }

  private update (): void {
    const previous = this.known
    const found = findHarmfulRequests(this.options.records.listOpenCrashes())
    this.known = new Map(found.map(harmful => [harmful.fingerprint, harmful]))
    const added = found.filter(({ fingerprint }) => !previous.has(fingerprint))
    for (const harmful of added) this.recordFound(harmful)
    if (added.length > 0) this.abortWaits()
    for (const fingerprint of previous.keys()) if (!this.known.has(fingerprint)) this.recordAudit({ kind: 'requestCleared', subject: fingerprint, cause: 'answered completely, or its crashes are explained by another request' })
  }

  private abortWaits (): void {
    for (const [entry, abort] of this.waiting) if (this.known.has(computeFingerprint(entry))) abort.abort()
  }

  private recordFound ({ fingerprint, crashes }: HarmfulRequest): void {
    this.options.metrics.getCounter('harmfulRequests', {}).add()
    this.recordAudit({ kind: 'requestHarmful', subject: fingerprint, cause: `${crashes} targets crashed under it` })
  }

  private recordAudit (entry: Omit<AuditEntry, 'revision'>): void {
    this.options.audit.record({ ...entry, revision: this.options.getRevision() })
  }
}
