import { type EngineSettings } from './EngineOptions.js'
import { type Generation } from './Generation.js'
import { type PrefixCache } from './PrefixCache.js'
import { type WaitingQueue } from './WaitingQueue.js'

/** What a batch works with. */
export interface BatchOptions {
  readonly settings: EngineSettings
  readonly waiting: WaitingQueue
  readonly prefixes: PrefixCache
  /** Is told of each preemption, before the generation waits again. */
  readonly observePreemption: (generation: Generation) => void
  /** Is told of a generation that does not fit into the memory even alone. */
  readonly observeOverflow: (generation: Generation) => void
}

/** Work of one step. */
export interface StepPlan {
  /** Generations that get a token at the end of the step. */
  readonly decoding: readonly Generation[]
  /** Prompt tokens that are computed. */
  readonly prefillTokens: number
}

/** Holds the running generations and their cache memory. */
export class Batch {
  /**
   * Creates an empty batch.
   * @param options - What it works with.
   */
  static create (options: BatchOptions): Batch {
    return new Batch(options)
  }

  private readonly running = new Set<Generation>()
  private privateTokens = 0

  /** @internal */
  private constructor (private readonly options: BatchOptions) {}

  /** Gets the number of running generations. */
  getCount (): number {
    return this.running.size
  }

  /** Lists the running generations in the order of their admission. */
  listRunning (): Generation[] {
    return [...this.running]
  }

  /** Gets the cache memory in use, in tokens. */
  getUsedTokens (): number {
    return this.privateTokens + this.options.prefixes.getReferencedTokens()
  }

  /** Makes room, admits waiting generations and plans the next step. */
  startStep (): StepPlan {
    const preempted = this.releaseOverflow()
    if (!preempted || this.running.size === 0) this.admitWaiting()
    this.options.prefixes.prune(this.options.settings.capacityTokens - this.privateTokens)
    return this.planStep()
  }

  /**
   * Records that a running generation got a token.
   * @param generation - The generation.
   */
  recordToken (generation: Generation): void {
    generation.produced++
    this.privateTokens++
  }

  /**
   * Removes a running generation and frees its memory.
   * @param generation - The generation.
   */
  remove (generation: Generation): void {
    if (!this.running.delete(generation)) return
    const shared = generation.sharesPrefix ? generation.prefixTokens : 0
    this.privateTokens -= generation.promptTokens + generation.produced - shared
    if (generation.sharesPrefix) this.options.prefixes.release(generation.spec.prefix as string)
    generation.sharesPrefix = false
  }

  private planStep (): StepPlan {
    const decoding: Generation[] = []
    let budget = this.options.settings.prefillStepTokens
    for (const generation of this.running) {
      const computed = Math.min(budget, generation.prefillLeft)
      generation.prefillLeft -= computed
      budget -= computed
      if (generation.prefillLeft === 0) decoding.push(generation)
    }
    return { decoding, prefillTokens: this.options.settings.prefillStepTokens - budget }
  }

  /** Preempts until each running generation has room for one more token. */
  private releaseOverflow (): boolean {
    let preempted = false
    while (this.running.size > 0 && this.getUsedTokens() + this.running.size > this.options.settings.capacityTokens) {
      const victim = this.pickVictim()
      const isAlone = this.running.size === 1
      this.remove(victim)
      if (isAlone) this.options.observeOverflow(victim)
      else this.preempt(victim)
      preempted = true
    }
    return preempted
  }

  private preempt (victim: Generation): void {
    victim.state = 'waiting'
    victim.preemptions++
    this.options.observePreemption(victim)
    this.options.waiting.insertFirst(victim)
  }

  /** Picks the youngest of the lowest priority. */
  private pickVictim (): Generation {
    let victim: Generation | undefined
    for (const generation of this.running) {
      if (victim === undefined || isPreemptedBefore(generation, victim)) victim = generation
    }
    return victim as Generation
  }

  private admitWaiting (): void {
    const { waiting, settings } = this.options
    for (let next = waiting.getFirst(); next !== undefined; next = waiting.getFirst()) {
      if (this.running.size >= settings.maxSequences || !this.hasRoom(next)) return
      waiting.remove(next)
      this.admit(next)
    }
  }

  private hasRoom (generation: Generation): boolean {
    const { settings, prefixes } = this.options
    if (this.running.size === 0) return true
    const needed = generation.promptTokens + generation.produced + 1
    const shared = generation.spec.prefix === undefined
      ? 0
      : generation.prefixTokens - prefixes.computeAddedTokens(generation.spec.prefix, generation.prefixTokens)
    const limit = settings.capacityTokens * (1 - settings.reserveShare)
    return this.getUsedTokens() + this.running.size + needed - shared <= limit
  }

  private admit (generation: Generation): void {
    const { prefix } = generation.spec
    const use = prefix === undefined ? 'uncached' : this.options.prefixes.acquire(prefix, generation.prefixTokens)
    const total = generation.promptTokens + generation.produced
    generation.sharesPrefix = use !== 'uncached'
    generation.prefillLeft = use === 'hit' ? total - generation.prefixTokens : total
    generation.state = 'running'
    this.privateTokens += generation.sharesPrefix ? total - generation.prefixTokens : total
    this.running.add(generation)
  }
}

function isPreemptedBefore (a: Generation, b: Generation): boolean {
  if (a.spec.priority !== b.spec.priority) return a.spec.priority < b.spec.priority
  return a.order > b.order
}
