import { formatModel, type ModelReference } from '@fescuespoke/common'
import { computeFenceRevision, computeTakeoverFencingToken } from './FencingNumber.js'

/** What the fencing number that a target reports means for an order giver. */
export type FencingOutcome = 'usable' | 'higherRevision' | 'takenOver'

/** What one order giver remembers of one target since it has taken it over. */
export class OrderSession {
  /**
   * Creates a session that begins now.
   * @param nowMs - Reading of the clock.
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
   * Gets the time since the target was taken over, or since this giver last had a reason to doubt that it still is the one.
   * @param nowMs - Reading of the clock.
   */
  getAgeMs (nowMs: number): number {
    return nowMs - this.startedAtMs
  }

  /** Gets the fencing number for orders. */
  getFence (): number {
    return this.fencingToken ?? 0
  }

  /**
   * Begins anew, as after a pause of the process.
   * @param nowMs - Reading of the clock.
   */
  restart (nowMs: number): void {
    this.startedAtMs = nowMs
    this.fencingToken = undefined
  }

  /**
   * Compares the fencing number that the target reports with this giver's own, and chooses one for the next order.
   * @param revision - Accepted configuration revision.
   * @param reported - Highest number that the target has accepted; absent when it reports none.
   */
  observeFence (revision: number, reported: number | undefined): FencingOutcome {
    if (reported !== undefined && computeFenceRevision(reported) > revision) return 'higherRevision'
    const isCurrent = this.fencingToken !== undefined && computeFenceRevision(this.fencingToken) === revision
    if (isCurrent && (reported ?? 0) > (this.fencingToken as number)) return 'takenOver'
    if (!isCurrent) this.fencingToken = computeTakeoverFencingToken(revision, reported)
    return 'usable'
  }

  /**
   * Takes note of the models that the target holds, and lists the wanted ones that have disappeared since the last report.
   * @param held - Models that it holds or loads.
   * @param wanted - Models that it should hold.
   */
  recordModels (actual: readonly ModelReference[], desired: readonly ModelReference[]): ModelReference[] {
    const keys = new Set(actual.map(formatModel))
    const lost = desired.filter(model => this.actualModels.has(formatModel(model)) && !keys.has(formatModel(model)))
    for (const model of lost) this.loadOrderedAtMs.delete(formatModel(model))
    this.actualModels = keys
    return lost
  }

  /**
   * Takes note of an ordered load.
   * @param model - The model.
   * @param nowMs - Reading of the clock.
   */
  recordLoadOrder (model: ModelReference, nowMs: number): void {
    this.loadOrderedAtMs.set(formatModel(model), nowMs)
  }

  /**
   * Gets the time since a load of a model was ordered; infinite when none was.
   * @param model - The model.
   * @param nowMs - Reading of the clock.
   */
  getLoadOrderAgeMs (model: ModelReference, nowMs: number): number {
    return nowMs - (this.loadOrderedAtMs.get(formatModel(model)) ?? -Infinity)
  }
}
