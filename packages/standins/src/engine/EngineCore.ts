import { type CacheEvent, type GenerationSpec, type GenerationStatus, type Order, type OrderAnswer, type TargetState } from '@fescuespoke/schema'
import { Maybe, Result } from 'true-myth'
import { type ErrorResponse } from '../http/ErrorResponse.js'
import { Batch } from './Batch.js'
import { CacheEventLog } from './CacheEventLog.js'
import { type EngineOptions, type EngineSettings, mergeEngineDefaults } from './EngineOptions.js'
import { type EndReason, type Generation, type GenerationListener, listTokens, sendEvent, sendLatestToken, type Subscription } from './Generation.js'
import { GenerationRegistry } from './GenerationRegistry.js'
import { LoadHistory } from './LoadHistory.js'
import { formatModelKey, ModelManager } from './ModelManager.js'
import { PrefixCache } from './PrefixCache.js'
import { StepLoop } from './StepLoop.js'
import { GenerationQueue } from './GenerationQueue.js'

/** How a generation was started: anew, or known already by its id. */
export type StartOutcome = 'started' | 'attached'

/** Exact counts of an engine since its start, for measurements. */
export interface EngineCounts {
  readonly steps: number
  readonly tokens: number
  readonly started: number
  readonly ended: number
  readonly preemptions: number
  /** Tokens computed again after preemptions. */
  readonly recomputedTokens: number
  /** New generations that arrived after the engine was set to leave. */
  readonly receivedAfterLeaving: number
  /** Time from the start of leaving to the last such arrival. */
  readonly lastArrivalAfterLeavingMs: number
}

const INCARNATION_BYTES = 8

/** A model engine with continuous batching, limited cache memory and preemption. */
export class EngineCore {
  /**
   * Creates an idle engine.
   * @param options - Options of the engine.
   */
  static create (options: EngineOptions): EngineCore {
    return new EngineCore(mergeEngineDefaults(options))
  }

  /** Name of this run of the engine. */
  readonly incarnation: string
  private readonly registry: GenerationRegistry
  private readonly queue = GenerationQueue.create()
  private readonly batch: Batch
  private readonly stepLoop: StepLoop
  private readonly cacheEvents: CacheEventLog
  private readonly loadHistory: LoadHistory
  private readonly modelManager: ModelManager
  private readonly counts = { tokens: 0, started: 0, ended: 0, preemptions: 0, recomputedTokens: 0, receivedAfterLeaving: 0, lastArrivalAfterLeavingMs: 0 }
  private leavingSinceMs: number | undefined
  private isStopped = false

  /** @internal */
  private constructor (private readonly settings: EngineSettings) {
    const { clock, random, eventLagMs, eventLossRate } = settings
    this.incarnation = random.nextText(INCARNATION_BYTES)
    this.cacheEvents = CacheEventLog.create({ clock, random, lagMs: eventLagMs, lossRate: eventLossRate })
    this.loadHistory = LoadHistory.create({ clock, lagMs: settings.loadLagMs })
    this.modelManager = ModelManager.create({ settings, handleUnload: model => this.failGenerations(formatModelKey(model)) })
    this.batch = Batch.create({
      settings,
      queue: this.queue,
      prefixCache: PrefixCache.create({
        capacityTokens: settings.prefixCacheTokens,
        recordEvent: (event, prefix) => this.cacheEvents.record(event, prefix)
      }),
      handlePreemption: generation => this.handlePreemption(generation),
      handleOverflow: generation => this.end(generation, 'failed')
    })
    this.stepLoop = StepLoop.create({
      settings,
      batch: this.batch,
      handleToken: generation => this.handleToken(generation),
      handleStep: () => this.recordLoad()
    })
    this.registry = GenerationRegistry.create({ settings, canSendHeartbeats: () => !this.stepLoop.isStalled() })
  }

  /** Gets the name of the target. */
  get targetName (): string {
    return this.settings.targetName
  }

  /**
   * Starts a generation; does nothing when the id is known.
   * @param id - Id chosen by the caller.
   * @param spec - What to generate.
   */
  startGeneration (id: string, spec: GenerationSpec): Result<StartOutcome, ErrorResponse> {
    if (this.isStopped) return Result.err({ status: 503, error: 'stopped' })
    if (this.hasGeneration(id)) return Result.ok('attached')
    if (this.leavingSinceMs !== undefined) {
      this.counts.receivedAfterLeaving++
      this.counts.lastArrivalAfterLeavingMs = this.settings.clock.nowMs() - this.leavingSinceMs
      if (this.settings.shouldRejectWhenLeaving) return Result.err({ status: 503, error: 'leaving' })
    }
    if (!this.modelManager.isReady(spec)) return Result.err({ status: 409, error: 'modelNotLoaded' })
    const generation = this.createGeneration(id, spec)
    if (generation.promptTokens >= this.settings.capacityTokens) return Result.err({ status: 413, error: 'promptTooLong' })
    this.registry.add(generation)
    this.queue.add(generation)
    this.counts.started++
    this.recordLoad()
    this.stepLoop.start()
    return Result.ok('started')
  }

  /**
   * Adds a reader; it gets the tokens produced so far at once. Returns what removes it, if the generation is known.
   * @param id - Id of the generation.
   * @param offset - Number of tokens that the reader already has.
   * @param listener - Receives the events.
   */
  subscribe (id: string, offset: number, listener: GenerationListener): Maybe<() => void> {
    const generation = this.registry.get(id)
    if (generation === undefined) return Maybe.nothing()
    const subscription: Subscription = { listener, nextOffset: Math.max(offset, generation.producedTokens), hasSentSinceHeartbeat: true }
    if (generation.endReason === undefined) generation.subscriptions.add(subscription)
    const tokens = listTokens(id, offset, generation.producedTokens)
    if (tokens.length > 0) listener({ type: 'tokens', offset, tokens })
    if (generation.endReason !== undefined) listener({ type: 'end', reason: generation.endReason, tokens: generation.producedTokens })
    return Maybe.just(() => { generation.subscriptions.delete(subscription) })
  }

  /**
   * Cancels a generation and tells whether its id is known.
   * @param id - Id of the generation.
   */
  cancel (id: string): boolean {
    const generation = this.registry.get(id)
    if (generation === undefined) return false
    if (generation.endReason === undefined) this.end(generation, 'cancelled')
    return true
  }

  /** Gets the state as it is published; the load figures lag behind. */
  getState (): TargetState {
    const { settings, modelManager } = this
    const { load, ageMs } = this.loadHistory.getDelayedLoad()
    return {
      target: settings.targetName,
      incarnation: this.incarnation,
      state: this.leavingSinceMs === undefined ? 'active' : 'leaving',
      ...load,
      capacityTokens: settings.capacityTokens,
      maxSequences: settings.maxSequences,
      loadAgeMs: ageMs,
      role: modelManager.getRole(),
      models: modelManager.listModels(),
      fence: modelManager.getFencingToken()
    }
  }

  /** Gets the counts since the start, without lag. */
  getCounts (): EngineCounts {
    return { steps: this.stepLoop.getStepCount(), ...this.counts }
  }

  /** Gets the cache memory in use, in tokens, without lag. */
  getUsedTokens (): number {
    return this.batch.getUsedTokens()
  }

  /**
   * Tells whether a generation can be read.
   * @param id - Id of the generation.
   */
  hasGeneration (id: string): boolean {
    return this.registry.get(id) !== undefined
  }

  /** Lists the generations that can be read. */
  listGenerations (): GenerationStatus[] {
    return this.registry.listStatuses()
  }

  /** Lists the orders carried out so far. */
  listOrders (): readonly Order[] {
    return this.modelManager.listOrders()
  }

  /**
   * Lists the cache events that can be read by now.
   * @param after - Sequence number of the last event already read.
   */
  listCacheEvents (after: number): CacheEvent[] {
    return this.cacheEvents.listEventsAfter(after)
  }

  /**
   * Carries out an order, or refuses it because of its fencing number.
   * @param order - The order.
   */
  giveOrder (order: Order): OrderAnswer {
    return this.modelManager.applyOrder(order)
  }

  /**
   * Sets how many times longer each later step takes.
   * @param factor - Factor; 1 for the usual speed.
   */
  setSlow (factor: number): void {
    this.stepLoop.setSlowdownFactor(factor)
  }

  /**
   * Halts decoding and heartbeats for a while.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.stepLoop.stall(durationMs)
  }

  /** Publishes from now on that the engine is leaving. */
  setLeaving (): void {
    this.leavingSinceMs ??= this.settings.clock.nowMs()
  }

  /** Stops for good; readers hear nothing more. */
  kill (): void {
    this.isStopped = true
    this.stepLoop.stop()
    this.registry.stop()
    this.modelManager.stop()
  }

  private createGeneration (id: string, spec: GenerationSpec): Generation {
    const { settings } = this
    const promptTokens = settings.computePromptTokens(spec)
    return {
      id,
      spec,
      promptTokens,
      prefixTokens: spec.prefix === undefined ? 0 : Math.min(promptTokens, settings.computePrefixTokens(spec)),
      outputTokens: Math.max(1, settings.computeOutputTokens(spec, id)),
      arrivalIndex: this.counts.started,
      subscriptions: new Set(),
      state: 'waiting',
      producedTokens: 0,
      remainingPrefillTokens: 0,
      hasCachedPrefix: false,
      preemptions: 0,
      endReason: undefined
    }
  }

  private handleToken (generation: Generation): void {
    this.counts.tokens++
    sendLatestToken(generation)
    if (generation.producedTokens >= generation.spec.maxTokens) this.end(generation, 'length')
    else if (generation.producedTokens >= generation.outputTokens) this.end(generation, 'stop')
  }

  private handlePreemption (generation: Generation): void {
    this.counts.preemptions++
    this.counts.recomputedTokens += generation.promptTokens + generation.producedTokens
    sendEvent(generation, { type: 'preempted' })
  }

  private end (generation: Generation, reason: EndReason): void {
    if (generation.endReason !== undefined) return
    if (generation.state === 'running') this.batch.remove(generation)
    else this.queue.remove(generation)
    this.counts.ended++
    this.registry.recordEnd(generation, reason)
    this.recordLoad()
  }

  private failGenerations (modelKey: string): void {
    for (const generation of this.registry.listActive()) {
      if (formatModelKey(generation.spec) === modelKey) this.end(generation, 'failed')
    }
  }

  private recordLoad (): void {
    this.loadHistory.record({
      running: this.batch.getRunningCount(),
      waiting: this.queue.getCount(),
      usedTokens: this.batch.getUsedTokens(),
      stepMs: this.stepLoop.getStepMs(),
      preemptions: this.counts.preemptions
    })
  }
}
