import { formatModelKey, type ModelReference } from '@fescuespoke/common'
import { computeFencingTokenRevision, computeTakeoverFencingToken } from './FencingToken.js'

/**
 * Result of comparing the fencing token of a target with that of a controller: the controller can send orders, the
 * target has accepted a higher revision, or another controller has taken the target over.
 */
export type FencingOutcome = 'usable' | 'higherRevision' | 'takenOver'

/** State of the control of one target by one controller, since the controller took the target over. */
export class OrderSession {
  /**
   * Creates a session that begins now.
   * @param nowMs - Current clock time in milliseconds.
   */
  static create (nowMs: number): OrderSession {
    return new OrderSession(nowMs)
  }

  private fencingToken: number | undefined
  private actualModels = new Set<string>()
  private readonly loadOrderedAtMs = new Map<string, number>()

  /** @internal */
  private constructor (private startedAtMs: number) {}

  /**
   * Returns the time in milliseconds since the target was taken over, or since the session was last restarted because
   * another controller may control the target.
   * @param nowMs - Current clock time in milliseconds.
   */
  getAgeMs (nowMs: number): number {
    return nowMs - this.startedAtMs
  }

  /** Returns the fencing token for orders; 0 before the first is chosen. */
  getFencingToken (): number {
    return this.fencingToken ?? 0
  }

  /**
   * Restarts the session, for example after a pause of the process.
   * @param nowMs - Current clock time in milliseconds.
   */
  restart (nowMs: number): void {
    this.startedAtMs = nowMs
    this.fencingToken = undefined
  }

  /**
   * Compares the fencing token that the target reports with that of the session, and chooses the token for the next
   * orders when the session has none of the accepted revision.
   * @param revision - Accepted configuration revision.
   * @param reported - Highest token that the target has accepted; absent when it reports none.
   */
  updateFencingToken (revision: number, reported: number | undefined): FencingOutcome {
    if (reported !== undefined && computeFencingTokenRevision(reported) > revision) return 'higherRevision'
    const isCurrent = this.fencingToken !== undefined && computeFencingTokenRevision(this.fencingToken) === revision
    if (isCurrent && (reported ?? 0) > (this.fencingToken as number)) return 'takenOver'
    if (!isCurrent) this.fencingToken = computeTakeoverFencingToken(revision, reported)
    return 'usable'
  }

  /**
   * Records the models of the target, and lists the desired models that have disappeared since the last report.
   * @param actual - Models that the target has loaded or is loading.
   * @param desired - Models that the target should have.
   */
  recordModels (actual: readonly ModelReference[], desired: readonly ModelReference[]): ModelReference[] {
    const keys = new Set(actual.map(formatModelKey))
    const lost = desired.filter(model => this.actualModels.has(formatModelKey(model)) && !keys.has(formatModelKey(model)))
    for (const model of lost) this.loadOrderedAtMs.delete(formatModelKey(model))
    this.actualModels = keys
    return lost
  }

  /**
   * Records that a load was ordered.
   * @param model - The model.
   * @param nowMs - Current clock time in milliseconds.
   */
  recordLoadOrder (model: ModelReference, nowMs: number): void {
    this.loadOrderedAtMs.set(formatModelKey(model), nowMs)
  }

  /**
   * Returns the time since a load of a model was last ordered.
   * @param model - The model.
   * @param nowMs - Current clock time in milliseconds.
   * @returns The time in milliseconds; infinite when no load was ordered.
   */
  getLoadOrderAgeMs (model: ModelReference, nowMs: number): number {
    return nowMs - (this.loadOrderedAtMs.get(formatModelKey(model)) ?? -Infinity)
  }
}
