/** Takes a few items of a list at a time, so that successive calls take all of them in turn. */
export class RoundRobin {
  /** Creates a round that begins with the first item. */
  static create (): RoundRobin {
    return new RoundRobin()
  }

  private nextIndex = 0

  /** @internal */
  private constructor () {}

  /**
   * Takes the items that follow those of the call before; the list may have changed since.
   * @param items - The list.
   * @param maxCount - Maximum number of items.
   */
  take<Item> (items: readonly Item[], maxCount: number): Item[] {
    const count = Math.min(maxCount, items.length)
    const taken = Array.from({ length: count }, (_, index) => items[(this.nextIndex + index) % items.length]!)
    this.nextIndex = items.length === 0 ? 0 : (this.nextIndex + count) % items.length
    return taken
  }
}
