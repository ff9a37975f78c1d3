import { type Clock } from '@fescuespoke/common'
import { isFingerprint } from './computeFingerprint.js'
import { type PartSuspicion } from './findPartSuspicions.js'

/** Options of a trial schedule. */
export interface TrialScheduleOptions {
  readonly clock: Clock
  /** Counts the instances that are considered alive, including this one. */
  readonly countInstances: () => number
  /** Returns the rank of this instance among these, from 0, in an order that depends on a key. */
  readonly getRank: (key: string) => number
}

/** Time after the last crash at which a request may try again, in milliseconds, and the factor by which each failed trial extends it. */
const FIRST_TRIAL_DELAY_MS = 30_000
const FIRST_TRIAL_DELAY_OF_SOUND_MS = 10_000
const FIRST_TRIAL_DELAY_OF_REQUEST_MS = 60_000
const TRIAL_DELAY_FACTOR = 4

/** Time in which one instance may let a request try before it is the turn of the next one, in milliseconds. */
const TRIAL_TURN_MS = 5000

/** Decides which requests with blamed parts try whether these still crash engines; all instances together let one request try at a time. */
export class TrialSchedule {
  /**
   * Creates a schedule.
   * @param options - Options of the schedule.
   */
  static create (options: TrialScheduleOptions): TrialSchedule {
    return new TrialSchedule(options)
  }

  /** Request that tried last, by key of the parts, and the turn in which it did. */
  private readonly trials = new Map<string, { readonly requestId: string, readonly turn: number }>()

  /** @internal */
  private constructor (private readonly options: TrialScheduleOptions) {}

  /**
   * Returns the time until a request with blamed parts may try again, in milliseconds.
   * @param suspicion - The parts.
   */
  getWaitMs (suspicion: PartSuspicion): number {
    const { lastAtMs, lateCrashes } = suspicion
    const delayMs = getFirstDelayMs(suspicion) * TRIAL_DELAY_FACTOR ** lateCrashes
    return Math.max(0, lastAtMs + delayMs - this.options.clock.nowMs())
  }

  /**
   * Takes the turn of this instance for a request, if it has one now.
   * @param suspicion - The parts.
   * @param requestId - Id of the request.
   * @returns Whether the request may be sent.
   */
  takeTurn (suspicion: PartSuspicion, requestId: string): boolean {
    if (this.getWaitMs(suspicion) > 0) return false
    const { clock, countInstances, getRank } = this.options
    const key = suspicion.parts.join()
    const last = this.trials.get(key)
    if (last?.requestId === requestId) return true
    const turn = Math.floor((clock.nowMs() - suspicion.lastAtMs) / TRIAL_TURN_MS)
    if (last?.turn === turn || turn % countInstances() !== getRank(key)) return false
    this.trials.set(key, { requestId, turn })
    return true
  }

  /**
   * Forgets the trials of parts that are no longer blamed.
   * @param isBlamed - Returns whether the parts with a key are.
   */
  prune (isBlamed: (key: string) => boolean): void {
    for (const key of this.trials.keys()) if (!isBlamed(key)) this.trials.delete(key)
  }
}

/** Returns the time after which the first request tries again. */
function getFirstDelayMs ({ parts, wasSound }: PartSuspicion): number {
  if (parts.some(isFingerprint)) return FIRST_TRIAL_DELAY_OF_REQUEST_MS
  return wasSound ? FIRST_TRIAL_DELAY_OF_SOUND_MS : FIRST_TRIAL_DELAY_MS
}
