import { type EngineHolds } from '../holds/EngineHolds.js'
import { type ColdTargets } from '../limits/ColdTargets.js'
import { type TargetLimits } from '../limits/TargetLimits.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type EvacuatedZones } from '../places/EvacuatedZones.js'
import { type TargetBackoffs } from './TargetBackoffs.js'
import { type TargetHealth } from './TargetHealth.js'

/** Reason for which nothing may be sent to a target for a while: it wants no requests, this instance has no turn at it because of a limit or because it is cold, its zone is evacuated, or it refused a reservation. */
export type ClosureReason = 'backoff' | 'limited' | 'evacuated' | 'warming' | 'full'

/** Time for which a target is closed, in milliseconds, and the reason that lasts longest. */
export interface Closure {
  readonly reason: ClosureReason
  readonly waitMs: number
}

/** Components that know why a target may not be used. */
export interface TargetAvailabilityOptions {
  readonly backoffs: TargetBackoffs
  readonly limits: TargetLimits
  readonly evacuatedZones: EvacuatedZones
  readonly coldTargets: ColdTargets
  readonly holds: EngineHolds
  readonly health: TargetHealth
}

/** Tells for how long and why a target may not be used, or should be avoided where another one is left. */
export class TargetAvailability {
  /**
   * Creates an availability.
   * @param options - Components that know why a target may not be used.
   */
  static create (options: TargetAvailabilityOptions): TargetAvailability {
    return new TargetAvailability(options)
  }

  /** Functions that return the time for which a target is closed, in milliseconds, by reason. */
  private readonly waits: ReadonlyArray<readonly [ClosureReason, (target: RelayTarget, tokens: number) => number]>

  /** @internal */
  private constructor (private readonly options: TargetAvailabilityOptions) {
    this.waits = [
      ['backoff', target => options.backoffs.getWaitMs(target)],
      ['limited', target => options.limits.getWaitMs(target)],
      ['evacuated', target => options.evacuatedZones.getWaitMs(target)],
      ['warming', target => options.coldTargets.getWaitMs(target)],
      ['full', (target, tokens) => options.holds.getWaitMs(target, tokens)]
    ]
  }

  /**
   * Returns why a target is closed; undefined when it is open.
   * @param target - The target.
   * @param tokens - Memory that a generation needs, in tokens; by default, as much as any.
   */
  findClosure (target: RelayTarget, tokens: number = Infinity): Closure | undefined {
    let closure: Closure | undefined
    for (const [reason, getWaitMs] of this.waits) {
      const waitMs = getWaitMs(target, tokens)
      if (waitMs > (closure?.waitMs ?? 0)) closure = { reason, waitMs }
    }
    return closure
  }

  /**
   * Returns whether a target should be avoided because a connection to it failed recently.
   * @param target - The target.
   */
  isUnreachable (target: RelayTarget): boolean {
    return this.options.health.isUnreachable(target.name)
  }
}
