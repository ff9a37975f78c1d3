import { type Clock } from '@fescuespoke/common'

/** Outcome of an attempt from the view of its target. */
export type AttemptOutcome = 'success' | 'failure' | 'unreachable'

/** Weight of the latest outcome in the moving average of failures. */
const LATEST_OUTCOME_WEIGHT = 0.2

/** Half-life of the failure rate, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4000

/** Time for which a target is avoided after a connection to it failed, in milliseconds. */
const UNREACHABLE_MS = 1000

interface HealthRecord {
  failureRate: number
  updatedAtMs: number
  unreachableUntilMs: number
}

/** Tracks the recent health of targets, based only on the outcomes of requests. */
export class TargetHealth {
  /**
   * Creates a health tracker without recorded failures.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): TargetHealth {
    return new TargetHealth(clock)
  }

  private readonly targets = new Map<string, HealthRecord>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Records the outcome of an attempt.
   * @param target - Name of the target.
   * @param outcome - Outcome of the attempt.
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
   * Returns the recent share of failed requests of a target, from 0 to 1.
   * @param target - Name of the target.
   */
  getFailureRate (target: string): number {
    const record = this.targets.get(target)
    return record === undefined ? 0 : computeDecayedRate(record, this.clock.nowMs())
  }

  /**
   * Returns whether a connection to a target failed recently.
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
