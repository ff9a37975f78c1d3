import { type Clock } from '@fescuespoke/common'

/** Tracks how recently the store answered any peer. */
export class PeerStoreStatus {
  /**
   * Creates a status without any reports.
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
   * Records that a peer reported an answer of the store.
   * @param ageMs - Age of the answer at the time of the report, in milliseconds.
   * @param timeSinceOutageMs - Time since the peer last saw an outage of the store, in milliseconds.
   */
  recordAnswer (ageMs: number, timeSinceOutageMs: number): void {
    this.lastAnswerAtMs = Math.max(this.lastAnswerAtMs, this.clock.nowMs() - ageMs)
    this.outageEndMs = Math.max(this.outageEndMs, this.clock.nowMs() - timeSinceOutageMs)
  }

  /** Returns the age of the latest store answer that any peer reported, in milliseconds. */
  getAgeMs (): number {
    return this.clock.nowMs() - this.lastAnswerAtMs
  }

  /** Returns the time since any peer last saw an outage of the store, in milliseconds. */
  getTimeSinceOutageMs (): number {
    return this.clock.nowMs() - this.outageEndMs
  }
}
