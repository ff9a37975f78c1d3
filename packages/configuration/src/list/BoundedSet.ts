/** A set of names that forgets the oldest ones beyond its capacity. */
export class BoundedSet {
  /**
   * Creates an empty set.
   * @param capacity - Number of names held.
   */
  static create (capacity: number): BoundedSet {
    return new BoundedSet(capacity)
  }

  private readonly names = new Set<string>()

  /** @internal */
  private constructor (private readonly capacity: number) {}

  /**
   * Adds a name as the newest one.
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
   * Tells whether a name is held.
   * @param name - The name.
   */
  has (name: string): boolean {
    return this.names.has(name)
  }
}
