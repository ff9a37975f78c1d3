import { formatModel, type ModelReference } from '@fescuespoke/common'

interface ModelTimes {
  readonly isWanted: boolean
  readonly sinceMs: number
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
  observeWanted (target: string, wanted: readonly ModelReference[], nowMs: number): void {
    const times = this.times.get(target) ?? new Map<string, ModelTimes>()
    this.times.set(target, times)
    const wantedKeys = new Set(wanted.map(formatModel))
    for (const key of new Set([...wantedKeys, ...times.keys()])) {
      const isWanted = wantedKeys.has(key)
      if (times.get(key)?.isWanted !== isWanted) times.set(key, { isWanted, sinceMs: nowMs })
    }
  }

  /**
   * Takes note of what a target holds, and forgets models that are neither wanted nor held.
   * @param target - Name of the target.
   * @param held - Models that it holds or loads.
   * @param nowMs - Reading of the clock.
   */
  observeHeld (target: string, held: readonly ModelReference[], nowMs: number): void {
    const times = this.times.get(target) ?? new Map<string, ModelTimes>()
    this.times.set(target, times)
    const heldKeys = new Set(held.map(formatModel))
    for (const key of heldKeys) {
      if (!times.has(key)) times.set(key, { isWanted: false, sinceMs: nowMs })
    }
    for (const [key, { isWanted }] of times) {
      if (!isWanted && !heldKeys.has(key)) times.delete(key)
    }
  }

  /**
   * Gets for how long a model has been wanted, or not wanted, at a target; 0 when it has not been observed.
   * @param target - Name of the target.
   * @param model - The model.
   * @param nowMs - Reading of the clock.
   */
  getUnchangedMs (target: string, model: ModelReference, nowMs: number): number {
    const known = this.times.get(target)?.get(formatModel(model))
    return known === undefined ? 0 : nowMs - known.sinceMs
  }

  /**
   * Forgets a target.
   * @param target - Name of the target.
   */
  remove (target: string): void {
    this.times.delete(target)
  }
}
