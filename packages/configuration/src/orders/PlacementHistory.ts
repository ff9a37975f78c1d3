import { formatModel, type ModelReference } from '@fescuespoke/common'

interface ModelTimes {
  readonly isDesired: boolean
  readonly unchangedSinceMs: number
}

/** Remembers for how long each model has been wanted, or not, at each target. */
export class PlacementHistory {
  /** Creates an empty history. */
  static create (): PlacementHistory {
    return new PlacementHistory()
  }

  private readonly times = new Map<string, Map<string, ModelTimes>>()

  /** @internal */
  private constructor () {}

  /**
   * Takes note of what is wanted at a target. It is called for each accepted revision, so that a short amendment counts.
   * @param target - Name of the target.
   * @param wanted - Models that it should hold.
   * @param nowMs - Reading of the clock.
   */
  recordDesired (target: string, desired: readonly ModelReference[], nowMs: number): void {
    const times = this.times.get(target) ?? new Map<string, ModelTimes>()
    this.times.set(target, times)
    const desiredKeys = new Set(desired.map(formatModel))
    for (const key of new Set([...desiredKeys, ...times.keys()])) {
      const isDesired = desiredKeys.has(key)
      if (times.get(key)?.isDesired !== isDesired) times.set(key, { isDesired, unchangedSinceMs: nowMs })
    }
  }

  /**
   * Takes note of what a target holds, and forgets models that are neither wanted nor held.
   * @param target - Name of the target.
   * @param held - Models that it holds or loads.
   * @param nowMs - Reading of the clock.
   */
  recordActual (target: string, actual: readonly ModelReference[], nowMs: number): void {
    const times = this.times.get(target) ?? new Map<string, ModelTimes>()
    this.times.set(target, times)
    const actualKeys = new Set(actual.map(formatModel))
    for (const key of actualKeys) {
      if (!times.has(key)) times.set(key, { isDesired: false, unchangedSinceMs: nowMs })
    }
    for (const [key, { isDesired }] of times) {
      if (!isDesired && !actualKeys.has(key)) times.delete(key)
    }
  }

  /**
   * Gets for how long a model has been wanted, or not wanted, at a target; 0 when it has not been observed.
   * @param target - Name of the target.
   * @param model - The model.
   * @param nowMs - Reading of the clock.
   */
  getUnchangedMs (target: string, model: ModelReference, nowMs: number): number {
    const entry = this.times.get(target)?.get(formatModel(model))
    return entry === undefined ? 0 : nowMs - entry.unchangedSinceMs
  }

  /**
   * Forgets a target.
   * @param target - Name of the target.
   */
  remove (target: string): void {
    this.times.delete(target)
  }
}
