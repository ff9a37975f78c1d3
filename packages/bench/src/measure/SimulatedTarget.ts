import { type Clock, type Random, type Target } from '@fescuespoke/common'
import { type CacheEvent, type TargetState } from '@fescuespoke/schema'
import { EngineCore, PlainServiceCore } from '@fescuespoke/standins'
import { type Arrival } from './arrivals.js'
import { type EngineParameters } from './deployments.js'

/** What a request sees of its target. */
export interface TargetListener {
  /** One more token, or the reply of a call. */
  readonly handleToken: (tokenCount: number) => void
  readonly handlePreemption: () => void
  readonly handleEnd: (isComplete: boolean) => void
}

/** Options of a simulated target. */
export interface SimulatedTargetOptions {
  readonly clock: Clock
  readonly random: Random
  readonly target: Target
  /** Absent for plain targets. */
  readonly engine?: EngineParameters
  readonly loadLagMs: number
  readonly eventLossRate: number
  readonly findArrival: (id: string) => Arrival
}

/** Duration of a call at a plain target. */
const CALL_DURATION_MS = 8

/** Requests of high, normal and low priority at an engine. */
const ENGINE_PRIORITIES = { high: 2, normal: 1, low: 0 } as const

/** A target of a run, over the stand-in of an engine or a plain service. */
export class SimulatedTarget {
  /**
   * Creates a target.
   * @param options - Options.
   */
  static create (options: SimulatedTargetOptions): SimulatedTarget {
    return new SimulatedTarget(options)
  }

  private readonly engine: EngineCore | undefined
  private readonly plainService: PlainServiceCore
  private readonly listeners = new Set<TargetListener>()
  private isDead = false

  /** @internal */
  private constructor (private readonly options: SimulatedTargetOptions) {
    const { clock, random, target } = options
    this.engine = options.engine && EngineCore.create({
      clock,
      random,
      targetName: target.name,
      ...options.engine,
      loadLagMs: options.loadLagMs,
      eventLossRate: options.eventLossRate,
      computePromptTokens: spec => options.findArrival(spec.prompt).promptTokens,
      computePrefixTokens: spec => options.findArrival(spec.prompt).service.prefixTokens,
      computeOutputTokens: spec => options.findArrival(spec.prompt).outputTokens
    })
    this.plainService = PlainServiceCore.create({ clock, random, targetName: target.name })
    this.plainService.setDelay(CALL_DURATION_MS)
  }

  /** Gets the target's record. */
  get target (): Target {
    return this.options.target
  }

  /** Tells whether the target answers. */
  isReachable (): boolean {
    return !this.isDead
  }

  /** Gets the state as it is published. */
  getState (): TargetState {
    return (this.engine ?? this.plainService).getState()
  }

  /**
   * Lists the cache events after a sequence number.
   * @param after - Sequence number.
   */
  listCacheEvents (after: number): CacheEvent[] {
    return this.engine?.listCacheEvents(after) ?? []
  }

  /**
   * Starts a request and tells whether the target took it.
   * @param arrival - The request.
   * @param id - Id of this attempt.
   * @param listener - Receives what happens.
   */
  startRequest (arrival: Arrival, id: string, listener: TargetListener): boolean {
    if (arrival.service.kind === 'call') {
      this.runCall(arrival, listener)
      return true
    }
    return this.startGeneration(arrival, id, listener)
  }

  /** Dies at once; whoever reads from it finds out when told. */
  kill (): void {
    this.isDead = true
    this.engine?.kill()
  }

  /** Ends the requests of a dead target, as broken connections do. */
  closeConnections (): void {
    for (const listener of [...this.listeners]) this.endRequest(listener, false)
  }

  /** Publishes from now on that the target is leaving. */
  setLeaving (): void {
    this.engine?.setLeaving()
  }

  /**
   * Sets how many times longer each step takes.
   * @param factor - The factor.
   */
  setStepFactor (factor: number): void {
    this.engine?.setSlow(factor)
  }

  private startGeneration (arrival: Arrival, id: string, listener: TargetListener): boolean {
    const { engine } = this
    if (engine === undefined) return false
    const { service } = arrival
    const started = engine.startGeneration(id, {
      model: 'm',
      prompt: arrival.id,
      prefix: service.prefixTokens > 0 ? formatPrefix(arrival) : undefined,
      maxTokens: service.outputLength.maxTokens,
      priority: ENGINE_PRIORITIES[service.priority]
    })
    if (started.isErr) return false
    this.listeners.add(listener)
    engine.subscribe(id, 0, event => {
      if (event.type === 'tokens') listener.handleToken(event.offset + event.tokens.length)
      else if (event.type === 'preempted') listener.handlePreemption()
      else if (event.type === 'end') this.endRequest(listener, event.reason !== 'failed')
    })
    return true
  }

  private async runCall (arrival: Arrival, listener: TargetListener): Promise<void> {
    this.listeners.add(listener)
    await this.plainService.runCall(arrival.id, undefined)
    listener.handleToken(1)
    this.endRequest(listener, true)
  }

  private endRequest (listener: TargetListener, isComplete: boolean): void {
    if (this.listeners.delete(listener)) listener.handleEnd(isComplete)
  }
}

/**
 * Formats the name of the prompt prefix that some of a workspace's requests of one service share.
 * @param arrival - One of the requests.
 */
export function formatPrefix (arrival: Arrival): string {
  return `${arrival.service.name}-${arrival.workspaceIndex}-${arrival.prefixIndex}`
}
