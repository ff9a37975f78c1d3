import { type Clock, type Random, type Target } from '@fescuespoke/common'
import { type CacheEvent, type TargetState } from '@fescuespoke/schema'
import { EngineCore, PlainServiceCore } from '@fescuespoke/standins'
import { type Arrival } from './arrivals.js'
import { type EngineParameters } from './deployments.js'

/** Callbacks for the events of a request at its target. */
export interface TargetListener {
  /** Called for new tokens with the number of tokens so far, and with 1 for the reply of a call. */
  readonly handleToken: (tokenCount: number) => void
  readonly handlePreemption: () => void
  readonly handleEnd: (isComplete: boolean) => void
}

/** Options of a simulated target. */
export interface SimulatedTargetOptions {
  readonly clock: Clock
  readonly random: Random
  readonly target: Target
  /** Parameters of the engine; absent for plain services. */
  readonly engine?: EngineParameters
  readonly loadLagMs: number
  readonly eventLossRate: number
  readonly findArrival: (id: string) => Arrival
}

/** Duration of a call at a plain service. */
const CALL_DURATION_MS = 8

/** Engine priority for each priority of a service. */
const ENGINE_PRIORITIES = { high: 2, normal: 1, low: 0 } as const

/** Simulated target, which runs the stand-in of an engine or of a plain service. */
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
    this.plainService.setDelayMs(CALL_DURATION_MS)
  }

  /** Returns the record of the target. */
  get target (): Target {
    return this.options.target
  }

  /** Returns whether the target responds. */
  isReachable (): boolean {
    return !this.isDead
  }

  /** Returns the state that the target publishes. */
  getState (): TargetState {
    return (this.engine ?? this.plainService).getState()
  }

  /**
   * Returns the cache events after a sequence number, or none for a plain service.
   * @param after - Sequence number of the last event that was received.
   */
  listCacheEvents (after: number): CacheEvent[] {
    return this.engine?.listCacheEvents(after) ?? []
  }

  /**
   * Starts a request and returns whether the target accepted it.
   * @param arrival - The request.
   * @param id - Id of this attempt.
   * @param listener - Receives the events of the request.
   */
  startRequest (arrival: Arrival, id: string, listener: TargetListener): boolean {
    if (arrival.service.kind === 'call') {
      this.runCall(arrival, listener)
      return true
    }
    return this.startGeneration(arrival, id, listener)
  }

  /** Kills the target. Listeners are notified only by `closeConnections`. */
  kill (): void {
    this.isDead = true
    this.engine?.kill()
  }

  /** Ends all requests of a dead target as failed, as broken connections would. */
  closeConnections (): void {
    for (const listener of [...this.listeners]) this.endRequest(listener, false)
  }

  /** Makes an engine publish the state `leaving`; has no effect on a plain service. */
  setLeaving (): void {
    this.engine?.setLeaving()
  }

  /**
   * Sets a factor by which each step of an engine takes longer; has no effect on a plain service.
   * @param factor - The factor; 1 is normal speed.
   */
  setStepFactor (factor: number): void {
    this.engine?.setSlowdownFactor(factor)
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
 * Formats the name of the prompt prefix of a request. Requests of a workspace to the same service share a prefix if
 * they have the same prefix index.
 * @param arrival - The request.
 */
export function formatPrefix (arrival: Arrival): string {
  return `${arrival.service.name}-${arrival.workspaceIndex}-${arrival.prefixIndex}`
}
