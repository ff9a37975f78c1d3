import { formatModelKey, type ModelReference } from '@fescuespoke/common'

interface ModelTimes {
  readonly isDesired: boolean
  readonly unchangedSinceMs: number
}

/** Records for how long each model has been desired or undesired at each target. */
export class PlacementHistory {
  /** Creates an empty history. */
  static create (): PlacementHistory {
    return new PlacementHistory()
  }

  private readonly times = new Map<string, Map<string, ModelTimes>>()

  /** @internal */
  private constructor () {}

  /**
   * Records the desired models of a target. It is called for each accepted revision, so that a change which is soon
   * reverted still restarts the times.
   * @param target - Name of the target.
   * @param desired - Models that the target should have.
   * @param nowMs - Current clock time in milliseconds.
   */
  recordDesired (target: string, desired: readonly ModelReference[], nowMs: number): void {
    const times = this.times.get(target) ?? new Map<string, ModelTimes>()
    this.times.set(target, times)
    const desiredKeys = new Set(desired.map(formatModelKey))
    for (const key of new Set([...desiredKeys, ...times.keys()])) {
      const isDesired = desiredKeys.has(key)
      if (times.get(key)?.isDesired !== isDesired) times.set(key, { isDesired, unchangedSinceMs: nowMs })
    }
  }

  /**
   * Records the actual models of a target, and removes models that are neither desired nor present.
   * @param target - Name of the target.
   * @param actual - Models that the target has loaded or is loading.
   * @param nowMs - Current clock time in milliseconds.
   */
  recordActual (target: string, actual: readonly ModelReference[], nowMs: number): void {
    const times = this.times.get(target) ?? new Map<string, ModelTimes>()
    this.times.set(target, times)
    const actualKeys = new Set(actual.map(formatModelKey))
    for (const key of actualKeys) {
      if (!times.has(key)) times.set(key, { isDesired: false, unchangedSinceMs: nowMs })
    }
    for (const [key, { isDesired }] of times) {
      if (!isDesired && !actualKeys.has(key)) times.delete(key)
    }
  }

  /**
   * Returns for how long a model has been desired or undesired at a target.
   * @param target - Name of the target.
   * @param model - The model.
   * @param nowMs - Current clock time in milliseconds.
   * @returns The time in milliseconds; 0 when the model has not been recorded.
   */
  getUnchangedMs (target: string, model: ModelReference, nowMs: number): number {
    const entry = this.times.get(target)?.get(formatModelKey(model))
    return entry === undefined ? 0 : nowMs - entry.unchangedSinceMs
  }

  /**
   * Removes a target.
   * @param target - Name of the target.
   */
  remove (target: string): void {
    this.times.delete(target)
  }
}
