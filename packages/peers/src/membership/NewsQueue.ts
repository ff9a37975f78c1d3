/** Factor of the number of times that one piece of news is sent; it is multiplied by the logarithm of the fleet's size. */
const SENDS_FACTOR = 3

/** Names of the members of whom there is news to pass on, those sent least first and among these the latest. @internal */
export class NewsQueue {
  /** Creates an empty queue. */
  static create (): NewsQueue {
    return new NewsQueue()
  }

  private readonly sends = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Adds news of a member, which is sent anew as often as news is.
   * @param instance - Name of the member.
   */
  add (instance: string): void {
    this.sends.delete(instance)
    this.sends.set(instance, 0)
  }

  /** Gets the number of members of whom there is news. */
  getSize (): number {
    return this.sends.size
  }

  /**
   * Takes the names for one message. Each is taken 3·ln(n + 1) times, as in section 4.1 of
   * A. Das, I. Gupta and A. Motivala, "SWIM", 2002.
   * @param limit - Largest number of names.
   * @param fleetSize - Number of members, n.
   */
  takeNames (limit: number, fleetSize: number): string[] {
    const maxSends = Math.ceil(SENDS_FACTOR * Math.log(fleetSize + 1))
    const ordered = [...this.sends].reverse().sort(([, a], [, b]) => a - b).slice(0, limit)
    for (const [instance, sends] of ordered) {
      if (sends + 1 >= maxSends) this.sends.delete(instance)
      else this.sends.set(instance, sends + 1)
    }
    return ordered.map(([instance]) => instance)
  }
}
