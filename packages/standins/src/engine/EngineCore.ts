import { type CacheEvent, type GenerationSpec, type GenerationStatus, type Order, type OrderAnswer, type TargetState } from '@fescuespoke/schema'
import { Maybe, Result } from 'true-myth'
import { type StandinRefusal } from '../http/StandinRefusal.js'
import { Batch } from './Batch.js'
import { CacheEventLog } from './CacheEventLog.js'
import { type EngineOptions, type EngineSettings, mergeEngineDefaults } from './EngineOptions.js'
import { type EndReason, type Generation, type GenerationListener, listTokens, sendEvent, sendLatestToken, type Subscription } from './Generation.js'
import { GenerationRegistry } from './GenerationRegistry.js'
import { LoadReports } from './LoadReports.js'
import { formatModel, ModelShelf } from './ModelShelf.js'
import { PrefixCache } from './PrefixCache.js'
import { StepLoop } from './StepLoop.js'
import { WaitingQueue } from './WaitingQueue.js'

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
  private readonly waiting = WaitingQueue.create()
  private readonly batch: Batch
  private readonly loop: StepLoop
  private readonly cacheEvents: CacheEventLog
  private readonly reports: LoadReports
  private readonly shelf: ModelShelf
  private readonly counts = { tokens: 0, started: 0, ended: 0, preemptions: 0, recomputedTokens: 0, receivedAfterLeaving: 0, lastArrivalAfterLeavingMs: 0 }
  private leavingSinceMs: number | undefined
  private isStopped = false

  /** @internal */
  private constructor (private readonly settings: EngineSettings) {
    const { clock, random, eventLagMs, eventLossRate } = settings
    this.incarnation = random.nextText(INCARNATION_BYTES)
    this.cacheEvents = CacheEventLog.create({ clock, random, lagMs: eventLagMs, lossRate: eventLossRate })
    this.reports = LoadReports.create({ clock, lagMs: settings.loadLagMs })
    this.shelf = ModelShelf.create({ settings, observeUnload: model => this.failGenerations(formatModel(model)) })
    this.batch = Batch.create({
      settings,
      waiting: this.waiting,
      prefixes: PrefixCache.create({
        capacityTokens: settings.prefixCacheTokens,
        recordEvent: (event, prefix) => this.cacheEvents.record(event, prefix)
      }),
      observePreemption: generation => this.observePreemption(generation),
      observeOverflow: generation => this.end(generation, 'failed')
    })
    this.loop = StepLoop.create({
      settings,
      batch: this.batch,
      observeToken: generation => this.observeToken(generation),
      observeStep: () => this.recordLoad()
    })
    this.registry = GenerationRegistry.create({ settings, canSend: () => !this.loop.isStalled() })
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
  startGeneration (id: string, spec: GenerationSpec): Result<StartOutcome, StandinRefusal> {
    if (this.isStopped) return Result.err({ status: 503, error: 'stopped' })
    if (this.hasGeneration(id)) return Result.ok('attached')
    if (this.leavingSinceMs !== undefined) {
      this.counts.receivedAfterLeaving++
      this.counts.lastArrivalAfterLeavingMs = this.settings.clock.nowMs() - this.leavingSinceMs
      if (this.settings.refusesWhenLeaving) return Result.err({ status: 503, error: 'leaving' })
    }
    if (!this.shelf.isReady(spec)) return Result.err({ status: 409, error: 'modelNotLoaded' })
    const generation = this.createGeneration(id, spec)
    if (generation.promptTokens >= this.settings.capacityTokens) return Result.err({ status: 413, error: 'promptTooLong' })
    this.registry.add(generation)
    this.waiting.add(generation)
    this.counts.started++
    this.recordLoad()
    this.loop.start()
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
    const subscription: Subscription = { listener, nextOffset: Math.max(offset, generation.produced), isFresh: true }
    if (generation.endReason === undefined) generation.subscriptions.add(subscription)
    const tokens = listTokens(id, offset, generation.produced)
    if (tokens.length > 0) listener({ type: 'tokens', offset, tokens })
    if (generation.endReason !== undefined) listener({ type: 'end', reason: generation.endReason, tokens: generation.produced })
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
    const { settings, shelf } = this
    const { figures, ageMs } = this.reports.getLagged()
    return {
      target: settings.targetName,
      incarnation: this.incarnation,
      state: this.leavingSinceMs === undefined ? 'active' : 'leaving',
      ...figures,
      capacityTokens: settings.capacityTokens,
      maxSequences: settings.maxSequences,
      loadAgeMs: ageMs,
      role: shelf.getRole(),
      models: shelf.listModels(),
      fence: shelf.getFence()
    }
  }

  /** Gets the counts since the start, without lag. */
  getCounts (): EngineCounts {
    return { steps: this.loop.getSteps(), ...this.counts }
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
    return this.registry.listStates()
  }

  /** Lists the orders carried out so far. */
  listOrders (): readonly Order[] {
    return this.shelf.listOrders()
  }

  /**
   * Lists the cache events that can be read by now.
   * @param after - Sequence number of the last event already read.
   */
  listCacheEvents (after: number): CacheEvent[] {
    return this.cacheEvents.listAfter(after)
  }

  /**
   * Carries out an order, or refuses it because of its fencing number.
   * @param order - The order.
   */
  giveOrder (order: Order): OrderAnswer {
    return this.shelf.giveOrder(order)
  }

  /**
   * Sets how many times longer each later step takes.
   * @param factor - Factor; 1 for the usual speed.
   */
  setSlow (factor: number): void {
    this.loop.setSlow(factor)
  }

  /**
   * Halts decoding and heartbeats for a while.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.loop.stall(durationMs)
  }

  /** Publishes from now on that the engine is leaving. */
  setLeaving (): void {
    this.leavingSinceMs ??= this.settings.clock.nowMs()
  }

  /** Stops for good; readers hear nothing more. */
  kill (): void {
    this.isStopped = true
    this.loop.stop()
    this.registry.stop()
    this.shelf.stop()
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
      order: this.counts.started,
      subscriptions: new Set(),
      state: 'waiting',
      produced: 0,
      prefillLeft: 0,
      sharesPrefix: false,
      preemptions: 0,
      endReason: undefined
    }
  }

  private observeToken (generation: Generation): void {
    this.counts.tokens++
    sendLatestToken(generation)
    if (generation.produced >= generation.spec.maxTokens) this.end(generation, 'length')
    else if (generation.produced >= generation.outputTokens) this.end(generation, 'stop')
  }

  private observePreemption (generation: Generation): void {
    this.counts.preemptions++
    this.counts.recomputedTokens += generation.promptTokens + generation.produced
    sendEvent(generation, { type: 'preempted' })
  }

  private end (generation: Generation, reason: EndReason): void {
    if (generation.endReason !== undefined) return
    if (generation.state === 'running') this.batch.remove(generation)
    else this.waiting.remove(generation)
    this.counts.ended++
    this.registry.recordEnd(generation, reason)
    this.recordLoad()
  }

  private failGenerations (model: string): void {
    for (const generation of this.registry.listOpen()) {
      if (formatModel(generation.spec) === model) this.end(generation, 'failed')
    }
  }

  private recordLoad (): void {
    this.reports.record({
      running: this.batch.getCount(),
      waiting: this.waiting.getCount(),
      usedTokens: this.batch.getUsedTokens(),
      stepMs: this.loop.getStepMs(),
      preemptions: this.counts.preemptions
    })
  }
}
