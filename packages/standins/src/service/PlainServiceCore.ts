import { type Clock, type Random } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'

/** Call received by a plain service. */
export interface ReceivedCall {
  /** Id of the request; empty if the client sent none. */
  readonly request: string
  readonly body: unknown
  readonly receivedAtMs: number
}

/** Reply of a plain service to a call. */
export interface PlainReply {
  readonly status: number
  readonly body: unknown
}

/** Options of a plain service. */
export interface PlainServiceCoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly targetName: string
  /** Computes the reply to a call. By default, the reply contains the request id and the body of the call. */
  readonly computeReply?: (call: ReceivedCall) => PlainReply
}

const INCARNATION_BYTES = 8

/** Plain service that executes and records each call it receives; independent of HTTP. */
export class PlainServiceCore {
  /**
   * Creates a service without recorded calls.
   * @param options - Options of the service.
   */
  static create (options: PlainServiceCoreOptions): PlainServiceCore {
    return new PlainServiceCore(options)
  }

  private readonly incarnation: string
  private readonly calls: ReceivedCall[] = []
  private delayMs = 0
  private running = 0
  private isLeaving = false

  /** @internal */
  private constructor (private readonly options: PlainServiceCoreOptions) {
    this.incarnation = options.random.nextString(INCARNATION_BYTES)
  }

  /** Name of the target. */
  get targetName (): string {
    return this.options.targetName
  }

  /**
   * Executes a call for the duration set by `setDelayMs` and returns its reply.
   * @param requestId - Id of the request.
   * @param body - Body of the call.
   */
  async runCall (requestId: string, body: unknown): Promise<PlainReply> {
    const call: ReceivedCall = { request: requestId, body, receivedAtMs: this.options.clock.nowMs() }
    this.calls.push(call)
    this.running++
    if (this.delayMs > 0) await this.options.clock.sleep(this.delayMs)
    this.running--
    const compute = this.options.computeReply ?? (() => ({ status: 200, body: { request: requestId, echo: body } }))
    return compute(call)
  }

  /** Returns the calls received so far, in order. */
  listCalls (): readonly ReceivedCall[] {
    return this.calls
  }

  /** Returns the request ids that were received more than once. */
  listDuplicateRequestIds (): string[] {
    const seenIds = new Set<string>()
    const duplicateIds = new Set<string>()
    for (const { request: requestId } of this.calls) {
      if (seenIds.has(requestId)) duplicateIds.add(requestId)
      seenIds.add(requestId)
    }
    return [...duplicateIds]
  }

  /**
   * Sets the duration of each later call.
   * @param delayMs - Duration in milliseconds.
   */
  setDelayMs (delayMs: number): void {
    this.delayMs = delayMs
  }

  /** Marks the service as leaving; the published state shows it from now on. */
  setLeaving (): void {
    this.isLeaving = true
  }

  /** Returns the published state. */
  getState (): TargetState {
    return {
      target: this.options.targetName,
      incarnation: this.incarnation,
      state: this.isLeaving ? 'leaving' : 'active',
      running: this.running
    }
  }
}
