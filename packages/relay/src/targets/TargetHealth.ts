import { type Clock } from '@fescuespoke/common'

/** How a target's part in a request ended. */
export type AttemptOutcome = 'success' | 'failure' | 'unreachable'

/** Weight of the latest verdict in the share of failures. */
const LATEST_OUTCOME_WEIGHT = 0.2

/** Time in which the memory of failures halves, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4000

/** Time for which a target that could not be reached is passed over, in milliseconds. */
const UNREACHABLE_MS = 1000

interface HealthRecord {
  failureRate: number
  updatedAtMs: number
  unreachableUntilMs: number
}

/** How well targets have answered lately, from the answers alone. */
export class TargetHealth {
  /**
   * Creates the quality of targets, all without failures.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): TargetHealth {
    return new TargetHealth(clock)
  }

  private readonly targets = new Map<string, HealthRecord>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes how a target's part in a request ended.
   * @param target - Name of the target.
   * @param outcome - How it ended.
   */
  recordOutcome (target: string, outcome: AttemptOutcome): void {
    const nowMs = this.clock.nowMs()
    const record = this.targets.get(target) ?? { failureRate: 0, updatedAtMs: nowMs, unreachableUntilMs: -Infinity }
    const rate = computeDecayedRate(record, nowMs)
    record.failureRate = rate + LATEST_OUTCOME_WEIGHT * ((outcome === 'success' ? 0 : 1) - rate)
    record.updatedAtMs = nowMs
    record.unreachableUntilMs = UNREACHABLE_UNTIL[outcome](nowMs)
    this.targets.set(target, record)
  }

  /**
   * Gets the share of a target's requests that failed lately, from 0 to 1.
   * @param target - Name of the target.
   */
  getFailureRate (target: string): number {
    const record = this.targets.get(target)
    return record === undefined ? 0 : computeDecayedRate(record, this.clock.nowMs())
  }

  /**
   * Tells whether a target could not be reached a moment ago.
   * @param target - Name of the target.
   */
  isUnreachable (target: string): boolean {
    return (this.targets.get(target)?.unreachableUntilMs ?? -Infinity) > this.clock.nowMs()
  }
}

const UNREACHABLE_UNTIL: Record<AttemptOutcome, (nowMs: number) => number> = {
  success: () => -Infinity,
  failure: () => -Infinity,
  unreachable: nowMs => nowMs + UNREACHABLE_MS
}

function computeDecayedRate ({ failureRate, updatedAtMs }: HealthRecord, nowMs: number): number {
  return failureRate * 0.5 ** ((nowMs - updatedAtMs) / FAILURE_HALF_LIFE_MS)
}
