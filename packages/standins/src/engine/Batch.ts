import { type EngineSettings } from './EngineOptions.js'
import { type Generation } from './Generation.js'
import { type PrefixCache } from './PrefixCache.js'
import { type GenerationQueue } from './GenerationQueue.js'

/** Options of a batch. */
export interface BatchOptions {
  readonly settings: EngineSettings
  readonly queue: GenerationQueue
  readonly prefixCache: PrefixCache
  /** Called for each preempted generation before it is queued again. */
  readonly handlePreemption: (generation: Generation) => void
  /** Called for a generation that exceeds the cache memory even when it runs alone. */
  readonly handleOverflow: (generation: Generation) => void
}

/** Work scheduled for one step. */
export interface StepPlan {
  /** Generations that produce a token at the end of the step. */
  readonly decoding: readonly Generation[]
  /** Number of prompt tokens computed in the step. */
  readonly prefillTokens: number
}

/** Tracks the running generations and the cache memory they use. */
export class Batch {
  /**
   * Creates an empty batch.
   * @param options - Options of the batch.
   */
  static create (options: BatchOptions): Batch {
    return new Batch(options)
  }

  private readonly running = new Set<Generation>()
  private unsharedTokens = 0

  /** @internal */
  private constructor (private readonly options: BatchOptions) {}

  /** Returns the number of running generations. */
  getRunningCount (): number {
    return this.running.size
  }

  /** Returns the running generations in order of admission. */
  listRunning (): Generation[] {
    return [...this.running]
  }

  /** Returns the cache memory in use, in tokens. */
  getUsedTokens (): number {
    return this.unsharedTokens + this.options.prefixCache.getReferencedTokens()
  }

  /** Preempts generations if memory is short, admits queued generations and plans the next step. */
  scheduleStep (): StepPlan {
    const hasPreempted = this.preemptUntilWithinCapacity()
    if (!hasPreempted || this.running.size === 0) this.admitQueued()
    this.options.prefixCache.evictUnused(this.options.settings.capacityTokens - this.unsharedTokens)
    return this.planStep()
  }

  /**
   * Records that a running generation produced a token.
   * @param generation - The generation.
   */
  recordToken (generation: Generation): void {
    generation.producedTokens++
    this.unsharedTokens++
  }

  /**
   * Removes a running generation and frees its memory.
   * @param generation - The generation.
   */
  remove (generation: Generation): void {
    if (!this.running.delete(generation)) return
    const sharedTokens = generation.hasCachedPrefix ? generation.prefixTokens : 0
    this.unsharedTokens -= generation.promptTokens + generation.producedTokens - sharedTokens
    if (generation.hasCachedPrefix) this.options.prefixCache.release(generation.spec.prefix as string)
    generation.hasCachedPrefix = false
  }

  private planStep (): StepPlan {
    const decoding: Generation[] = []
    let remainingBudgetTokens = this.options.settings.prefillStepTokens
    for (const generation of this.running) {
      const computedTokens = Math.min(remainingBudgetTokens, generation.remainingPrefillTokens)
      generation.remainingPrefillTokens -= computedTokens
      remainingBudgetTokens -= computedTokens
      if (generation.remainingPrefillTokens === 0) decoding.push(generation)
    }
    return { decoding, prefillTokens: this.options.settings.prefillStepTokens - remainingBudgetTokens }
  }

  /**
   * Preempts generations until each remaining one can produce one more token within the capacity.
   * @returns Whether any generation was preempted or failed.
   */
  private preemptUntilWithinCapacity (): boolean {
    let hasPreempted = false
    while (this.running.size > 0 && this.getUsedTokens() + this.running.size > this.options.settings.capacityTokens) {
      const victim = this.selectVictim()
      const isAlone = this.running.size === 1
      this.remove(victim)
      if (isAlone) this.options.handleOverflow(victim)
      else this.preempt(victim)
      hasPreempted = true
    }
    return hasPreempted
  }

  private preempt (victim: Generation): void {
    victim.state = 'waiting'
    victim.preemptions++
    this.options.handlePreemption(victim)
    this.options.queue.insertFirst(victim)
  }

  /** Returns the most recently arrived generation of the lowest priority. */
  private selectVictim (): Generation {
    let victim: Generation | undefined
    for (const generation of this.running) {
      if (victim === undefined || isPreemptedBefore(generation, victim)) victim = generation
    }
    return victim as Generation
  }

  private admitQueued (): void {
    const { queue, settings } = this.options
    for (let next = queue.getFirst(); next !== undefined; next = queue.getFirst()) {
      if (this.running.size >= settings.maxSequences || !this.hasCapacityFor(next)) return
      queue.remove(next)
      this.admit(next)
    }
  }

  private hasCapacityFor (generation: Generation): boolean {
    const { settings, prefixCache } = this.options
    if (this.running.size === 0) return true
    const neededTokens = generation.promptTokens + generation.producedTokens + 1
    const sharedTokens = generation.spec.prefix === undefined
      ? 0
      : generation.prefixTokens - prefixCache.computeAdditionalTokens(generation.spec.prefix, generation.prefixTokens)
    const limitTokens = settings.capacityTokens * (1 - settings.reserveFraction)
    return this.getUsedTokens() + this.running.size + neededTokens - sharedTokens <= limitTokens
  }

  private admit (generation: Generation): void {
    const { prefix } = generation.spec
    const cacheResult = prefix === undefined ? 'uncached' : this.options.prefixCache.acquire(prefix, generation.prefixTokens)
    const totalTokens = generation.promptTokens + generation.producedTokens
    generation.hasCachedPrefix = cacheResult !== 'uncached'
    generation.remainingPrefillTokens = cacheResult === 'hit' ? totalTokens - generation.prefixTokens : totalTokens
    generation.state = 'running'
    this.unsharedTokens += generation.hasCachedPrefix ? totalTokens - generation.prefixTokens : totalTokens
    this.running.add(generation)
  }
}

function isPreemptedBefore (a: Generation, b: Generation): boolean {
  if (a.spec.priority !== b.spec.priority) return a.spec.priority < b.spec.priority
  return a.arrivalIndex > b.arrivalIndex
}
