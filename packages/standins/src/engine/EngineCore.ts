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

/** Result of starting a generation: `started` if it is new, `attached` if a generation with this id already exists. */
export type StartOutcome = 'started' | 'attached'

/** Exact counts of an engine since its start, without reporting delay. Used by measurements. */
export interface EngineCounts {
  readonly steps: number
  readonly tokens: number
  readonly started: number
  readonly ended: number
  readonly preemptions: number
  /** Number of tokens recomputed after preemptions. */
  readonly recomputedTokens: number
  /** Number of new generations requested after the engine started leaving. */
  readonly receivedAfterLeaving: number
  /** Time in milliseconds from the start of leaving to the last such request. */
  readonly lastArrivalAfterLeavingMs: number
}

const INCARNATION_BYTES = 8

/** Simulated inference engine with continuous batching, limited cache memory and preemption; independent of HTTP. */
export class EngineCore {
  /**
   * Creates an idle engine.
   * @param options - Options of the engine.
   */
  static create (options: EngineOptions): EngineCore {
    return new EngineCore(mergeEngineDefaults(options))
  }

  /** Random identifier of this engine process; a restarted engine has another one. */
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
    this.incarnation = random.nextString(INCARNATION_BYTES)
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

  /** Name of the target. */
  get targetName (): string {
    return this.settings.targetName
  }

  /**
   * Starts a generation. Does nothing if a generation with this id already exists.
   * @param id - Id chosen by the caller.
   * @param spec - Model, prompt and limits of the generation.
   * @returns Whether the generation is new, or the error response if the request is rejected.
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
   * Subscribes to the events of a generation. The tokens produced so far are sent synchronously.
   * @param id - Id of the generation.
   * @param offset - Number of tokens that the subscriber already has.
   * @param listener - Receives the events.
   * @returns A function that removes the subscription, or `Maybe.nothing()` if no generation has this id.
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
   * Cancels a generation. Does nothing if it has already ended.
   * @param id - Id of the generation.
   * @returns Whether a generation with this id exists.
   */
  cancel (id: string): boolean {
    const generation = this.registry.get(id)
    if (generation === undefined) return false
    if (generation.endReason === undefined) this.end(generation, 'cancelled')
    return true
  }

  /** Returns the published state; its load values are delayed. */
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

  /** Returns the counts since the start, without delay. */
  getCounts (): EngineCounts {
    return { steps: this.stepLoop.getStepCount(), ...this.counts }
  }

  /** Returns the cache memory in use, in tokens, without delay. */
  getUsedTokens (): number {
    return this.batch.getUsedTokens()
  }

  /**
   * Returns whether a generation exists: it has not ended, or its retention time has not expired.
   * @param id - Id of the generation.
   */
  hasGeneration (id: string): boolean {
    return this.registry.get(id) !== undefined
  }

  /** Returns the status of each generation that has not ended or is still retained. */
  listGenerations (): GenerationStatus[] {
    return this.registry.listStatuses()
  }

  /** Returns the orders executed so far. */
  listOrders (): readonly Order[] {
    return this.modelManager.listOrders()
  }

  /**
   * Returns the cache events that are readable now.
   * @param after - Sequence number of the last event already read; only later events are returned.
   */
  listCacheEvents (after: number): CacheEvent[] {
    return this.cacheEvents.listEventsAfter(after)
  }

  /**
   * Executes an order, or rejects it if its fencing token is outdated.
   * @param order - The order.
   */
  applyOrder (order: Order): OrderAnswer {
    return this.modelManager.applyOrder(order)
  }

  /**
   * Sets the factor by which the duration of each later step is multiplied.
   * @param factor - Factor; 1 for the normal speed.
   */
  setSlowdownFactor (factor: number): void {
    this.stepLoop.setSlowdownFactor(factor)
  }

  /**
   * Pauses decoding and heartbeats for a limited time.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.stepLoop.stall(durationMs)
  }

  /** Marks the engine as leaving; the published state shows it from now on. */
  setLeaving (): void {
    this.leavingSinceMs ??= this.settings.clock.nowMs()
  }

  /** Stops the engine permanently. Subscribers receive no further events, not even an `end` event. */
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
