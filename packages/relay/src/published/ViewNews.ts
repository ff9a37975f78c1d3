import { type Clock } from '@fescuespoke/common'

/** What peers tell of how current their views of the store are. */
export class ViewNews {
  /**
   * Creates news of nobody.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): ViewNews {
    return new ViewNews(clock)
  }

  private confirmedAtMs = -Infinity

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes that the store answered a peer.
   * @param ageMs - Age of the answer in milliseconds when it was told.
   */
  observeAnswer (ageMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, this.clock.nowMs() - ageMs)
  }

  /** Gets the age in milliseconds of the latest answer of the store that any peer told of. */
  getAgeMs (): number {
    return this.clock.nowMs() - this.confirmedAtMs
  }
}
