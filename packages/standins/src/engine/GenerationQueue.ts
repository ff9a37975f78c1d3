import { type Generation } from './Generation.js'

/** Queue of generations. Higher priorities come first; within a priority, the order of insertion counts. */
export class GenerationQueue {
  /** Creates an empty queue. */
  static create (): GenerationQueue {
    return new GenerationQueue()
  }

  private readonly generationsByPriority = new Map<number, Generation[]>()
  private priorities: number[] = []
  private count = 0

  /** @internal */
  private constructor () {}

  /** Returns the number of queued generations. */
  getCount (): number {
    return this.count
  }

  /** Returns the first generation, or `undefined` if the queue is empty. */
  getFirst (): Generation | undefined {
    for (const priority of this.priorities) {
      const first = this.generationsByPriority.get(priority)?.[0]
      if (first !== undefined) return first
    }
    return undefined
  }

  /**
   * Adds a generation after the others of its priority.
   * @param generation - The generation.
   */
  add (generation: Generation): void {
    this.getOrCreateGenerations(generation.spec.priority).push(generation)
    this.count++
  }

  /**
   * Inserts a generation before the others of its priority.
   * @param generation - The generation.
   */
  insertFirst (generation: Generation): void {
    this.getOrCreateGenerations(generation.spec.priority).unshift(generation)
    this.count++
  }

  /**
   * Removes a generation. Does nothing if it is not queued.
   * @param generation - The generation.
   */
  remove (generation: Generation): void {
    const generations = this.getOrCreateGenerations(generation.spec.priority)
    const index = generations.indexOf(generation)
    if (index < 0) return
    generations.splice(index, 1)
    this.count--
  }

  private getOrCreateGenerations (priority: number): Generation[] {
    const existing = this.generationsByPriority.get(priority)
    if (existing !== undefined) return existing
    const generations: Generation[] = []
    this.generationsByPriority.set(priority, generations)
    this.priorities = [...this.generationsByPriority.keys()].sort((a, b) => b - a)
    return generations
  }
}
