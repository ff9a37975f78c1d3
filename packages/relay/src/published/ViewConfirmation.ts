import { type Clock } from '@fescuespoke/common'

/** Options of a view confirmation. */
export interface ViewConfirmationOptions {
  readonly clock: Clock
  /** Returns the age of what the view is known to contain, in milliseconds; `Infinity` when it is known to lack something. */
  readonly getKnowledgeAgeMs: () => number
  /** Returns whether the store has answered a call that was made at a time or later; requests such a call otherwise. */
  readonly hasAnswerSince: (atMs: number) => boolean
  /** Returns whether the latest published configuration could not be read. */
  readonly isConfigurationUnreadable: () => boolean
}

/** Limits of one confirmation. */
export interface ConfirmationLimits {
  /** Clock reading at which it ends at the latest. */
  readonly endAtMs: number
  /** Ends it when it is aborted. */
  readonly signal: AbortSignal
  /** Returns whether it is needed no longer, since the view has changed. */
  readonly isOutdated: () => boolean
}

interface Waiter extends ConfirmationLimits {
  readonly startedAtMs: number
  /** Whether only an answer of the store confirms the view, even if its changes should have arrived without. */
  readonly needsAnswer: boolean
  readonly resolve: (isConfirmed: boolean) => void
}

/** Age up to which knowledge counts as current, in milliseconds; an open watch tells of changes within that time. */
export const MAX_KNOWLEDGE_AGE_MS = 500

/** Maximum time to wait for a confirmation, in milliseconds, and as a share of the caller's remaining time. */
const MAX_CONFIRMATION_WAIT_MS = 1000
const CONFIRMATION_WAIT_SHARE = 0.3

/** Interval at which the answer of the store is awaited, in milliseconds, for all confirmations together. */
const ANSWER_CHECK_INTERVAL_MS = 10

/** Confirms that the view contains everything that is published, before something that it lacks is called unknown. */
export class ViewConfirmation {
  /**
   * Creates a confirmation.
   * @param options - Options of the confirmation.
   */
  static create (options: ViewConfirmationOptions): ViewConfirmation {
    return new ViewConfirmation(options)
  }

  private readonly waiters = new Set<Waiter>()
  private isRunning = false

  /** @internal */
  private constructor (private readonly options: ViewConfirmationOptions) {}

  /**
   * Returns whether the view contains everything that was published shortly before; asks the store unless that is known.
   * @param limits - Limits of the confirmation.
   */
  async confirmView (limits: ConfirmationLimits): Promise<boolean> {
    const { isConfigurationUnreadable } = this.options
    if (isConfigurationUnreadable()) return false
    return (this.isCurrent() || await this.waitForAnswer(limits, false)) && !isConfigurationUnreadable()
  }

  /**
   * Returns whether the view contains everything that was published before this call; always asks the store. Knowledge that seems current
   * may be old in a process that stood still without its clock showing so, or whose connections have just gone silent.
   * @param limits - Limits of the confirmation.
   */
  async confirmByAnswer (limits: ConfirmationLimits): Promise<boolean> {
    return await this.waitForAnswer(limits, true)
  }

  private async waitForAnswer (limits: ConfirmationLimits, needsAnswer: boolean): Promise<boolean> {
    return await new Promise(resolve => {
      this.waiters.add({ ...limits, needsAnswer, startedAtMs: this.options.clock.nowMs(), resolve })
      this.run()
    })
  }

  private isCurrent (): boolean {
    return this.options.getKnowledgeAgeMs() < MAX_KNOWLEDGE_AGE_MS
  }

  private async run (): Promise<void> {
    if (this.isRunning) return
    this.isRunning = true
    for (;;) {
      this.settleWaiters()
      if (this.waiters.size === 0) break
      await this.options.clock.sleep(ANSWER_CHECK_INTERVAL_MS)
    }
    this.isRunning = false
  }

  private settleWaiters (): void {
    const { clock, hasAnswerSince } = this.options
    const isCurrent = this.isCurrent()
    for (const waiter of this.waiters) {
      const isConfirmed = (isCurrent && !waiter.needsAnswer) || hasAnswerSince(waiter.startedAtMs)
      const isEnded = waiter.isOutdated() || waiter.signal.aborted || clock.nowMs() >= waiter.endAtMs
      if (!isConfirmed && !isEnded) continue
      this.waiters.delete(waiter)
      waiter.resolve(isConfirmed)
    }
  }
}

/**
 * Returns the clock reading at which a request stops waiting for a confirmation.
 * @param nowMs - Current clock reading.
 * @param request - When the request was received, and for how long its caller waited at most then.
 */
export function computeConfirmationEndMs (nowMs: number, { receivedAtMs, remainingMs = Infinity }: { readonly receivedAtMs: number, readonly remainingMs?: number }): number {
  return Math.min(nowMs + MAX_CONFIRMATION_WAIT_MS, receivedAtMs + remainingMs * CONFIRMATION_WAIT_SHARE)
}
