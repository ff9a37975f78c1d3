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
  private troubleEndMs = -Infinity

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes that the store answered a peer.
   * @param ageMs - Age of the answer in milliseconds when it was told.
   * @param calmMs - Time in milliseconds since the peer last saw the store in trouble.
   */
  observeAnswer (ageMs: number, calmMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, this.clock.nowMs() - ageMs)
    this.troubleEndMs = Math.max(this.troubleEndMs, this.clock.nowMs() - calmMs)
  }

  /** Gets the age in milliseconds of the latest answer of the store that any peer told of. */
  getAgeMs (): number {
    return this.clock.nowMs() - this.confirmedAtMs
  }

  /** Gets the time in milliseconds since any peer last saw the store in trouble. */
  getCalmMs (): number {
    return this.clock.nowMs() - this.troubleEndMs
  }
}
