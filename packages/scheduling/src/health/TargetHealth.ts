import { type Clock } from '@fescuespoke/common'

/** Health state of a target. It does not limit the requests of a healthy target. An excluded target receives none, and a target that is being readmitted receives a few at a time. */
export type HealthState = 'healthy' | 'excluded' | 'readmitting'

/** Change of the health state of a target. */
export interface HealthChange {
  readonly target: string
  readonly before: HealthState
  readonly after: HealthState
  readonly cause: string
}

/** Options of the target health tracking. */
export interface TargetHealthOptions {
  readonly clock: Clock
  /** Mean token interval above which a target counts as slow, in milliseconds. */
  readonly slowIntervalMs: number
  readonly excludesSlowTargets: boolean
  /** Records a change of state. */
  readonly recordChange: (change: HealthChange) => void
}

interface HealthRecord {
  state: HealthState
  excludedUntilMs: number
  backoffMs: number
  /** Maximum number of concurrent requests during readmission. */
  concurrencyLimit: number
  consecutiveFailures: number
  consecutiveMissedPolls: number
  meanIntervalMs: number
  intervalCount: number
  lastIntervalAtMs: number
}

const FIRST_BACKOFF_MS = 1000
const MAX_BACKOFF_MS = 30_000

/** Numbers of consecutive failed requests and of unanswered state requests after which a target is excluded. */
const MAX_FAILURES = 2
const MAX_MISSED_POLLS = 2

/** Weight of the latest token interval in the moving average, and number of intervals before the average is used. */
const INTERVAL_EWMA_WEIGHT = 0.04
const MIN_INTERVAL_COUNT = 20

/** Intervals are capped at this multiple of the slow interval, so that a preemption does not make a target appear slow. */
const MAX_INTERVAL_FACTOR = 3

/** Concurrency limit from which a target counts as healthy again. */
const HEALTHY_CONCURRENCY_LIMIT = 16

/** Excludes targets that fail, do not answer or are slow. Readmits them with few concurrent requests at first. */
export class TargetHealth {
  /**
   * Creates the health tracking. All targets are healthy at first.
   * @param options - Options.
   */
  static create (options: TargetHealthOptions): TargetHealth {
    return new TargetHealth(options)
  }

  private readonly healthByTarget = new Map<string, HealthRecord>()

  /** @internal */
  private constructor (private readonly options: TargetHealthOptions) {}

  /**
   * Records that a request failed at a target.
   * @param target - Name of the target.
   * @param isUnreachable - Whether no connection could be established.
   */
  observeFailure (target: string, isUnreachable: boolean): void {
    const health = this.getHealth(target)
    health.consecutiveFailures++
    if (health.state === 'readmitting' || isUnreachable || health.consecutiveFailures >= MAX_FAILURES) {
      this.exclude(target, health, isUnreachable ? 'unreachable' : 'requests failed')
    }
  }

  /**
   * Records that a request completed or produced enough tokens to count as a success.
   * @param target - Name of the target.
   */
  observeSuccess (target: string): void {
    const health = this.healthByTarget.get(target)
    if (health === undefined) return
    health.consecutiveFailures = 0
    if (health.state !== 'readmitting' || this.isSlow(health)) return
    health.concurrencyLimit *= 2
    if (health.concurrencyLimit >= HEALTHY_CONCURRENCY_LIMIT) this.setState(target, health, 'healthy', 'requests succeeded')
  }

  /**
   * Records that a target did not answer a state request.
   * @param target - Name of the target.
   */
  observeMissedPoll (target: string): void {
    const health = this.getHealth(target)
    health.consecutiveMissedPolls++
    if (health.consecutiveMissedPolls >= MAX_MISSED_POLLS) this.exclude(target, health, 'state requests unanswered')
  }

  /**
   * Records that a target answered a state request.
   * @param target - Name of the target.
   */
  observePollResponse (target: string): void {
    const health = this.healthByTarget.get(target)
    if (health !== undefined) health.consecutiveMissedPolls = 0
  }

  /**
   * Records the interval between two tokens of one generation.
   * @param target - Name of the target.
   * @param intervalMs - Interval in milliseconds.
   */
  observeTokenInterval (target: string, intervalMs: number): void {
    const health = this.getHealth(target)
    const boundedMs = Math.min(intervalMs, this.options.slowIntervalMs * MAX_INTERVAL_FACTOR)
    health.meanIntervalMs = health.intervalCount === 0 ? boundedMs : health.meanIntervalMs + INTERVAL_EWMA_WEIGHT * (boundedMs - health.meanIntervalMs)
    health.intervalCount++
    health.lastIntervalAtMs = this.options.clock.nowMs()
    if (this.options.excludesSlowTargets && health.state !== 'excluded' && this.isSlow(health)) this.exclude(target, health, 'token interval too long')
  }

  /**
   * Returns the maximum number of concurrent requests at a target; Infinity if its health does not limit them. Starts the readmission of an excluded target when its back-off has ended.
   * @param target - Name of the target.
   */
  getConcurrencyLimit (target: string): number {
    const health = this.healthByTarget.get(target)
    if (health === undefined) return Infinity
    if (health.state === 'excluded') this.tryReadmit(target, health)
    return CONCURRENCY_LIMITS[health.state](health)
  }

  /**
   * Returns the health state of a target.
   * @param target - Name of the target.
   */
  getState (target: string): HealthState {
    return this.healthByTarget.get(target)?.state ?? 'healthy'
  }

  private tryReadmit (target: string, health: HealthRecord): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs < health.excludedUntilMs || health.consecutiveMissedPolls > 0) return
    const isStillSlow = this.isSlow(health) && nowMs - health.lastIntervalAtMs < FIRST_BACKOFF_MS
    if (isStillSlow) return
    health.intervalCount = 0
    health.concurrencyLimit = 1
    this.setState(target, health, 'readmitting', 'back-off ended')
  }

  private exclude (target: string, health: HealthRecord, cause: string): void {
    const nowMs = this.options.clock.nowMs()
    if (health.state === 'excluded') return
    const isRepeated = health.state === 'readmitting' || nowMs - health.excludedUntilMs < health.backoffMs
    health.backoffMs = isRepeated ? Math.min(MAX_BACKOFF_MS, health.backoffMs * 2) : FIRST_BACKOFF_MS
    health.excludedUntilMs = nowMs + health.backoffMs
    this.setState(target, health, 'excluded', cause)
  }

  private isSlow (health: HealthRecord): boolean {
    return health.intervalCount >= MIN_INTERVAL_COUNT && health.meanIntervalMs > this.options.slowIntervalMs
  }

  private setState (target: string, health: HealthRecord, after: HealthState, cause: string): void {
    const before = health.state
    health.state = after
    this.options.recordChange({ target, before, after, cause })
  }

  private getHealth (target: string): HealthRecord {
    const existing = this.healthByTarget.get(target)
    if (existing !== undefined) return existing
    const health: HealthRecord = {
      state: 'healthy', excludedUntilMs: -Infinity, backoffMs: FIRST_BACKOFF_MS, concurrencyLimit: 0, consecutiveFailures: 0, consecutiveMissedPolls: 0, meanIntervalMs: 0, intervalCount: 0, lastIntervalAtMs: 0
    }
    this.healthByTarget.set(target, health)
    return health
  }
}

const CONCURRENCY_LIMITS: Record<HealthState, (health: HealthRecord) => number> = {
  healthy: () => Infinity,
  excluded: () => 0,
  readmitting: health => health.concurrencyLimit
}
