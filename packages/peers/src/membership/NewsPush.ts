import { type Clock } from '@fescuespoke/common'

/** Options of a push of news. */
export interface NewsPushOptions {
  readonly clock: Clock
  /** Tells some peers what this instance knows. */
  readonly push: () => void
}

/** Minimum interval between two pushes, in milliseconds. */
const MIN_PUSH_INTERVAL_MS = 100

/** Tells peers at once, but at a limited rate, when this instance has learned something that others should know soon. */
export class NewsPush {
  /**
   * Creates a push of which none is scheduled.
   * @param options - Options of the push.
   */
  static create (options: NewsPushOptions): NewsPush {
    return new NewsPush(options)
  }

  private lastPushAtMs = -Infinity
  private isScheduled = false

  /** @internal */
  private constructor (private readonly options: NewsPushOptions) {}

  /** Schedules a push, unless one is scheduled. */
  schedulePush (): void {
    if (this.isScheduled) return
    const { clock, push } = this.options
    this.isScheduled = true
    clock.startTimer(Math.max(0, this.lastPushAtMs + MIN_PUSH_INTERVAL_MS - clock.nowMs()), () => {
      this.isScheduled = false
      this.lastPushAtMs = clock.nowMs()
      push()
    })
  }
}
