import { type Clock } from '@fescuespoke/common'

/** What peers tell of how current their views of the store are. */
export class PeerStoreStatus {
  /**
   * Creates news of nobody.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): PeerStoreStatus {
    return new PeerStoreStatus(clock)
  }

  private lastAnswerAtMs = -Infinity
  private outageEndMs = -Infinity

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes that the store answered a peer.
   * @param ageMs - Age of the answer in milliseconds when it was told.
   * @param timeSinceOutageMs - Time in milliseconds since the peer last saw the store in trouble.
   */
  recordAnswer (ageMs: number, timeSinceOutageMs: number): void {
    this.lastAnswerAtMs = Math.max(this.lastAnswerAtMs, this.clock.nowMs() - ageMs)
    this.outageEndMs = Math.max(this.outageEndMs, this.clock.nowMs() - timeSinceOutageMs)
  }

  /** Gets the age in milliseconds of the latest answer of the store that any peer told of. */
  getAgeMs (): number {
    return this.clock.nowMs() - this.lastAnswerAtMs
  }

  /** Gets the time in milliseconds since any peer last saw the store in trouble. */
  getTimeSinceOutageMs (): number {
    return this.clock.nowMs() - this.outageEndMs
  }
}
