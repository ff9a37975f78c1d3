import { type Clock } from '@fescuespoke/common'

/** Whether a target gets work: all it can take, none, or a few requests that try it out. */
export type HealthState = 'healthy' | 'excluded' | 'readmitting'

/** A change of a target's state. */
export interface HealthChange {
  readonly target: string
  readonly before: HealthState
  readonly after: HealthState
  readonly cause: string
}

/** Options of the health of targets. */
export interface TargetHealthOptions {
  readonly clock: Clock
  /** Token interval above which a target counts as slow, in milliseconds. */
  readonly slowIntervalMs: number
  readonly excludesSlow: boolean
  /** Receives each change. */
  readonly recordChange: (change: HealthChange) => void
}

interface Health {
  state: HealthState
  untilMs: number
  backoffMs: number
  /** Requests that may run at once while the target is tried out. */
  allowance: number
  failures: number
  silences: number
  paceMs: number
  gaps: number
  paceAtMs: number
}

const FIRST_BACKOFF_MS = 1000
const MAX_BACKOFF_MS = 30_000

/** Consecutive failures and unanswered questions that exclude a target. */
const MAX_FAILURES = 2
const MAX_SILENCES = 2

/** Weight of the latest token interval in the mean, and intervals before the mean counts. */
const PACE_WEIGHT = 0.04
const MIN_GAPS = 20

/** A longer interval counts as this many times the slow one, since a preemption is not a slow target. */
const MAX_GAP_FACTOR = 3

/** Allowance at which a target is healthy again. */
const HEALTHY_ALLOWANCE = 16

/** Excludes targets that fail, fall silent or slow down, and readmits them with few requests first. */
export class TargetHealth {
  /**
   * Creates the health of targets, all healthy.
   * @param options - Options.
   */
  static create (options: TargetHealthOptions): TargetHealth {
    return new TargetHealth(options)
  }

  private readonly targets = new Map<string, Health>()

  /** @internal */
  private constructor (private readonly options: TargetHealthOptions) {}

  /**
   * Observes that a request failed at a target.
   * @param target - Name of the target.
   * @param isUnreachable - Whether no connection was made.
   */
  observeFailure (target: string, isUnreachable: boolean): void {
    const health = this.getHealth(target)
    health.failures++
    if (health.state === 'readmitting' || isUnreachable || health.failures >= MAX_FAILURES) {
      this.exclude(target, health, isUnreachable ? 'unreachable' : 'requests failed')
    }
  }

  /**
   * Observes that a request ended well or produced a good deal of tokens.
   * @param target - Name of the target.
   */
  observeSuccess (target: string): void {
    const health = this.targets.get(target)
    if (health === undefined) return
    health.failures = 0
    if (health.state !== 'readmitting' || this.isSlow(health)) return
    health.allowance *= 2
    if (health.allowance >= HEALTHY_ALLOWANCE) this.setState(target, health, 'healthy', 'requests succeeded')
  }

  /**
   * Observes that a target did not answer a question for its state.
   * @param target - Name of the target.
   */
  observeSilence (target: string): void {
    const health = this.getHealth(target)
    health.silences++
    if (health.silences >= MAX_SILENCES) this.exclude(target, health, 'state questions unanswered')
  }

  /**
   * Observes that a target answered a question for its state.
   * @param target - Name of the target.
   */
  observeAnswer (target: string): void {
    const health = this.targets.get(target)
    if (health !== undefined) health.silences = 0
  }

  /**
   * Observes the time between two tokens of one generation.
   * @param target - Name of the target.
   * @param gapMs - Duration in milliseconds.
   */
  observeTokenGap (target: string, gapMs: number): void {
    const health = this.getHealth(target)
    const bounded = Math.min(gapMs, this.options.slowIntervalMs * MAX_GAP_FACTOR)
    health.paceMs = health.gaps === 0 ? bounded : health.paceMs + PACE_WEIGHT * (bounded - health.paceMs)
    health.gaps++
    health.paceAtMs = this.options.clock.nowMs()
    if (this.options.excludesSlow && health.state !== 'excluded' && this.isSlow(health)) this.exclude(target, health, 'tokens come slowly')
  }

  /**
   * Gets the number of requests that may run at a target at once.
   * @param target - Name of the target.
   */
  getAllowance (target: string): number {
    const health = this.targets.get(target)
    if (health === undefined) return Infinity
    if (health.state === 'excluded') this.readmit(target, health)
    return ALLOWANCES[health.state](health)
  }

  /**
   * Gets the state of a target.
   * @param target - Name of the target.
   */
  getState (target: string): HealthState {
    return this.targets.get(target)?.state ?? 'healthy'
  }

  private readmit (target: string, health: Health): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs < health.untilMs || health.silences > 0) return
    const isStillSlow = this.isSlow(health) && nowMs - health.paceAtMs < FIRST_BACKOFF_MS
    if (isStillSlow) return
    health.gaps = 0
    health.allowance = 1
    this.setState(target, health, 'readmitting', 'back-off is over')
  }

  private exclude (target: string, health: Health, cause: string): void {
    const nowMs = this.options.clock.nowMs()
    if (health.state === 'excluded') return
    const isRepeated = health.state === 'readmitting' || nowMs - health.untilMs < health.backoffMs
    health.backoffMs = isRepeated ? Math.min(MAX_BACKOFF_MS, health.backoffMs * 2) : FIRST_BACKOFF_MS
    health.untilMs = nowMs + health.backoffMs
    this.setState(target, health, 'excluded', cause)
  }

  private isSlow (health: Health): boolean {
    return health.gaps >= MIN_GAPS && health.paceMs > this.options.slowIntervalMs
  }

  private setState (target: string, health: Health, after: HealthState, cause: string): void {
    const before = health.state
    health.state = after
    this.options.recordChange({ target, before, after, cause })
  }

  private getHealth (target: string): Health {
    const known = this.targets.get(target)
    if (known !== undefined) return known
    const health: Health = {
      state: 'healthy', untilMs: -Infinity, backoffMs: FIRST_BACKOFF_MS, allowance: 0, failures: 0, silences: 0, paceMs: 0, gaps: 0, paceAtMs: 0
    }
    this.targets.set(target, health)
    return health
  }
}

const ALLOWANCES: Record<HealthState, (health: Health) => number> = {
  healthy: () => Infinity,
  excluded: () => 0,
  readmitting: health => health.allowance
}
