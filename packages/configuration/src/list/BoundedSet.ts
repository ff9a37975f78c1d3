/** A set of names that evicts the oldest names beyond its capacity. */
export class BoundedSet {
  /**
   * Creates an empty set.
   * @param capacity - Maximum number of names.
   */
  static create (capacity: number): BoundedSet {
    return new BoundedSet(capacity)
  }

  private readonly names = new Set<string>()

  /** @internal */
  private constructor (private readonly capacity: number) {}

  /**
   * Adds a name as the newest one, also when it is already in the set. Evicts the oldest name when the set is full.
   * @param name - The name.
   */
  add (name: string): void {
    this.names.delete(name)
    this.names.add(name)
    const [oldest] = this.names
    if (this.names.size > this.capacity && oldest !== undefined) this.names.delete(oldest)
  }

  /**
   * Removes a name.
   * @param name - The name.
   */
  remove (name: string): void {
    this.names.delete(name)
  }

  /**
   * Returns whether a name is in the set.
   * @param name - The name.
   */
  has (name: string): boolean {
    return this.names.has(name)
  }
}
