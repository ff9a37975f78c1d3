import { type Clock } from '@fescuespoke/common'

/** Limits on the additional attempts of a service over all instances. */
export interface AttemptBudgetLimits {
  /** Ratio of additional attempts to requests. */
  readonly ratio: number
  /** Attempts that all instances together may add in each window, independent of the number of requests. */
  readonly extra: number
  readonly windowMs: number
}

/** Options of an attempt budget. */
export interface AttemptBudgetOptions {
  readonly clock: Clock
  readonly limits: AttemptBudgetLimits
  /** Counts the instances that share the extra attempts. */
  readonly countInstances: () => number
}

/** Purpose of an additional attempt. `resume` and `move` go on with an answer that has begun, from its last event or from the memory of its run. */
export type AttemptPurpose = 'retry' | 'resume' | 'move'

const SLICES_PER_WINDOW = 10

/** Share of this instance's budget that attempts of each purpose may use. */
const USABLE_SHARES: Record<AttemptPurpose, number> = { retry: 0.6, resume: 0.95, move: 0.95 }

/** Share of the extra attempts that a process may use in its first window; a previous process may have used some of them. */
const FIRST_WINDOW_SHARE = 0.5

interface Slice {
  index: number
  requests: number
  additionalAttempts: number
}

/**
 * Limits additional attempts to a share of the requests, so that failures do not multiply load. Each instance uses its own
 * requests and an equal share of the extra attempts, so that the total stays within the limits without coordination.
 */
export class AttemptBudget {
  /**
   * Creates a budget.
   * @param options - Options of the budget.
   */
  static create (options: AttemptBudgetOptions): AttemptBudget {
    return new AttemptBudget(options)
  }

  private readonly startedAtMs: number
  private readonly services = new Map<string, Slice[]>()

  /** @internal */
  private constructor (private readonly options: AttemptBudgetOptions) {
    this.startedAtMs = options.clock.nowMs()
  }

  /**
   * Records the first attempt of a request.
   * @param service - Name of the service.
   */
  recordRequest (service: string): void {
    this.getSlice(service).requests++
  }

  /**
   * Takes one additional attempt from the budget; returns whether one was left.
   * @param service - Name of the service.
   * @param purpose - Purpose of the attempt.
   */
  takeAttempt (service: string, purpose: AttemptPurpose): boolean {
    const isLeft = this.hasAttempt(service, purpose)
    if (isLeft) this.recordAttempt(service)
    return isLeft
  }

  /**
   * Records an additional attempt that is sent whether or not one is left, so that later ones make up for it.
   * @param service - Name of the service.
   */
  recordAttempt (service: string): void {
    this.getSlice(service).additionalAttempts++
  }

  /**
   * Returns whether an additional attempt is left for a purpose.
   * @param service - Name of the service.
   * @param purpose - Purpose of the attempt.
   */
  hasAttempt (service: string, purpose: AttemptPurpose): boolean {
    const { requests, additionalAttempts } = this.sumWindow(service)
    const allowed = this.options.limits.ratio * requests + this.computeExtra()
    return additionalAttempts + 1 <= allowed * USABLE_SHARES[purpose]
  }

  /**
   * Returns an additional attempt that was taken and not sent. The oldest one that counts is forgotten, so that no window has too many.
   * @param service - Name of the service.
   */
  returnAttempt (service: string): void {
    const slice = this.listWindow(service).find(({ additionalAttempts }) => additionalAttempts > 0)
    if (slice !== undefined) slice.additionalAttempts--
  }

  private computeExtra (): number {
    const { clock, limits, countInstances } = this.options
    const isFirstWindow = clock.nowMs() - this.startedAtMs < limits.windowMs
    return (isFirstWindow ? FIRST_WINDOW_SHARE : 1) * limits.extra / Math.max(1, countInstances())
  }

  private sumWindow (service: string): { requests: number, additionalAttempts: number } {
    let requests = 0
    let additionalAttempts = 0
    for (const slice of this.listWindow(service)) {
      requests += slice.requests
      additionalAttempts += slice.additionalAttempts
    }
    return { requests, additionalAttempts }
  }

  /** Lists the slices of the window, oldest first. */
  private listWindow (service: string): Slice[] {
    const current = this.getSliceIndex()
    return (this.services.get(service) ?? []).filter(({ index }) => current - index < SLICES_PER_WINDOW)
  }

  private getSlice (service: string): Slice {
    const slices = this.services.get(service) ?? []
    this.services.set(service, slices)
    const index = this.getSliceIndex()
    const last = slices.at(-1)
    if (last?.index === index) return last
    const slice = { index, requests: 0, additionalAttempts: 0 }
    slices.push(slice)
    if (slices.length > SLICES_PER_WINDOW) slices.shift()
    return slice
  }

  private getSliceIndex (): number {
    return Math.floor(this.options.clock.nowMs() / (this.options.limits.windowMs / SLICES_PER_WINDOW))
  }
}
