/** Number of times an update is sent, as a multiple of the logarithm of the fleet size. */
const RETRANSMIT_MULTIPLIER = 3

/**
 * Queue of the members whose updates are gossiped. Updates sent fewer times come first; among these, the most recent.
 * @internal
 */
export class GossipQueue {
  /** Creates an empty queue. */
  static create (): GossipQueue {
    return new GossipQueue()
  }

  private readonly transmitCounts = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Adds a member whose record has changed. Resets the number of times its update has been sent.
   * @param instance - Name of the member.
   */
  add (instance: string): void {
    this.transmitCounts.delete(instance)
    this.transmitCounts.set(instance, 0)
  }

  /** Returns the number of queued members. */
  getSize (): number {
    return this.transmitCounts.size
  }

  /**
   * Returns the names of the members to include in the next message and counts the transmission. A member is removed
   * after 3·ln(n + 1) transmissions, following section 4.1 of A. Das, I. Gupta and A. Motivala, "SWIM", 2002.
   * @param limit - Maximum number of names.
   * @param fleetSize - Number of members, n.
   */
  takeNames (limit: number, fleetSize: number): string[] {
    const maxTransmits = Math.ceil(RETRANSMIT_MULTIPLIER * Math.log(fleetSize + 1))
    const selected = [...this.transmitCounts].reverse().sort(([, a], [, b]) => a - b).slice(0, limit)
    for (const [instance, transmitCount] of selected) {
      if (transmitCount + 1 >= maxTransmits) this.transmitCounts.delete(instance)
      else this.transmitCounts.set(instance, transmitCount + 1)
    }
    return selected.map(([instance]) => instance)
  }
}
