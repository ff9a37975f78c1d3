import { type Generation } from './Generation.js'

/** Holds waiting generations, the highest priority first and in order within one priority. */
export class WaitingQueue {
  /** Creates an empty queue. */
  static create (): WaitingQueue {
    return new WaitingQueue()
  }

  private readonly lanes = new Map<number, Generation[]>()
  private priorities: number[] = []
  private count = 0

  /** @internal */
  private constructor () {}

  /** Gets the number of generations held. */
  getCount (): number {
    return this.count
  }

  /** Gets the first generation, if any. */
  getFirst (): Generation | undefined {
    for (const priority of this.priorities) {
      const first = this.lanes.get(priority)?.[0]
      if (first !== undefined) return first
    }
    return undefined
  }

  /**
   * Adds a generation behind the others of its priority.
   * @param generation - The generation.
   */
  add (generation: Generation): void {
    this.getLane(generation.spec.priority).push(generation)
    this.count++
  }

  /**
   * Inserts a generation before the others of its priority.
   * @param generation - The generation.
   */
  insertFirst (generation: Generation): void {
    this.getLane(generation.spec.priority).unshift(generation)
    this.count++
  }

  /**
   * Removes a generation.
   * @param generation - The generation.
   */
  remove (generation: Generation): void {
    const lane = this.getLane(generation.spec.priority)
    const index = lane.indexOf(generation)
    if (index < 0) return
    lane.splice(index, 1)
    this.count--
  }

  private getLane (priority: number): Generation[] {
    const known = this.lanes.get(priority)
    if (known !== undefined) return known
    const lane: Generation[] = []
    this.lanes.set(priority, lane)
    this.priorities = [...this.lanes.keys()].sort((a, b) => b - a)
    return lane
  }
}
