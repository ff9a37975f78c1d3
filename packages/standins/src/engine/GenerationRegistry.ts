import { type CancelTimer } from '@fescuespoke/common'
import { type GenerationStatus } from '@fescuespoke/schema'
import { type EngineSettings } from './EngineOptions.js'
import { type EndReason, type Generation, sendEvent } from './Generation.js'

/** Options of a generation registry. */
export interface GenerationRegistryOptions {
  readonly settings: EngineSettings
  /** Returns whether heartbeats may be sent now. */
  readonly canSendHeartbeats: () => boolean
}

interface RetainedGeneration {
  readonly id: string
  readonly expiresAtMs: number
}

/** Stores the generations of an engine until their retention time expires and sends their heartbeats. */
export class GenerationRegistry {
  /**
   * Creates an empty registry.
   * @param options - Options of the registry.
   */
  static create (options: GenerationRegistryOptions): GenerationRegistry {
    return new GenerationRegistry(options)
  }

  private readonly generations = new Map<string, Generation>()
  private readonly retainedGenerations: RetainedGeneration[] = []
  private activeCount = 0
  private isStopped = false
  private cancelHeartbeat: CancelTimer | undefined

  /** @internal */
  private constructor (private readonly options: GenerationRegistryOptions) {}

  /**
   * Returns a generation.
   * @param id - Id of the generation.
   * @returns The generation, or `undefined` if there is none with this id or its retention time has expired.
   */
  get (id: string): Generation | undefined {
    this.prune()
    return this.generations.get(id)
  }

  /** Returns the generations that have not ended. */
  listActive (): Generation[] {
    return [...this.generations.values()].filter(generation => generation.endReason === undefined)
  }

  /** Returns the statuses of all generations, including the ended ones that are still retained. */
  listStatuses (): GenerationStatus[] {
    this.prune()
    return [...this.generations.values()].map(({ id, state, producedTokens }) => ({ id, state, tokens: producedTokens }))
  }

  /**
   * Adds a generation.
   * @param generation - The generation.
   */
  add (generation: Generation): void {
    this.generations.set(generation.id, generation)
    this.activeCount++
    this.startHeartbeats()
  }

  /**
   * Records the end of a generation and notifies its subscribers.
   * @param generation - The generation.
   * @param reason - Reason for the end.
   */
  recordEnd (generation: Generation, reason: EndReason): void {
    const { clock, retentionMs } = this.options.settings
    generation.state = 'ended'
    generation.endReason = reason
    this.activeCount--
    this.retainedGenerations.push({ id: generation.id, expiresAtMs: clock.nowMs() + retentionMs })
    sendEvent(generation, { type: 'end', reason, tokens: generation.producedTokens })
    generation.subscriptions.clear()
  }

  /** Stops the heartbeats and removes all subscriptions without sending an `end` event. */
  stop (): void {
    this.isStopped = true
    this.cancelHeartbeat?.()
    for (const generation of this.generations.values()) generation.subscriptions.clear()
  }

  private prune (): void {
    const nowMs = this.options.settings.clock.nowMs()
    for (let first = this.retainedGenerations[0]; first !== undefined && first.expiresAtMs <= nowMs; first = this.retainedGenerations[0]) {
      this.retainedGenerations.shift()
      this.generations.delete(first.id)
    }
  }

  private startHeartbeats (): void {
    const { clock, heartbeatMs } = this.options.settings
    this.cancelHeartbeat ??= clock.startTimer(heartbeatMs, () => this.sendHeartbeats())
  }

  private sendHeartbeats (): void {
    this.cancelHeartbeat = undefined
    if (this.activeCount === 0 || this.isStopped) return
    if (this.options.canSendHeartbeats()) this.sendDueHeartbeats()
    if (!this.isStopped) this.startHeartbeats()
  }

  private sendDueHeartbeats (): void {
    for (const generation of this.listActive()) {
      for (const subscription of generation.subscriptions) {
        if (!subscription.hasSentSinceHeartbeat) subscription.listener({ type: 'heartbeat' })
        subscription.hasSentSinceHeartbeat = false
      }
    }
  }
}
