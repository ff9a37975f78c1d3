import { type Clock, type Random } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'

/** A call that a plain service has run. */
export interface ReceivedCall {
  /** Id of the request; empty when none was given. */
  readonly request: string
  readonly body: unknown
  readonly receivedMs: number
}

/** Reply of a plain service. */
export interface PlainReply {
  readonly status: number
  readonly body: unknown
}

/** Options of a plain service. */
export interface PlainServiceCoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly targetName: string
  /** Computes the reply to a call; tells the request id and the body by default. */
  readonly computeReply?: (call: ReceivedCall) => PlainReply
}

const INCARNATION_BYTES = 8

/** A plain service that runs each call it receives and remembers it. */
export class PlainServiceCore {
  /**
   * Creates a service that has received nothing.
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
    this.incarnation = options.random.nextText(INCARNATION_BYTES)
  }

  /** Gets the name of the target. */
  get targetName (): string {
    return this.options.targetName
  }

  /**
   * Runs a call and returns its reply after the delay.
   * @param requestId - Id of the request.
   * @param body - Body of the call.
   */
  async runCall (requestId: string, body: unknown): Promise<PlainReply> {
    const call: ReceivedCall = { request: requestId, body, receivedMs: this.options.clock.nowMs() }
    this.calls.push(call)
    this.running++
    if (this.delayMs > 0) await this.options.clock.sleep(this.delayMs)
    this.running--
    const compute = this.options.computeReply ?? (() => ({ status: 200, body: { request: requestId, echo: body } }))
    return compute(call)
  }

  /** Lists the calls run so far, in order. */
  listCalls (): readonly ReceivedCall[] {
    return this.calls
  }

  /** Lists the request ids that were run more than once. */
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
   * Sets how long each later call takes.
   * @param delayMs - Duration in milliseconds.
   */
  setDelay (delayMs: number): void {
    this.delayMs = delayMs
  }

  /** Publishes from now on that the service is leaving. */
  setLeaving (): void {
    this.isLeaving = true
  }

  /** Gets the state as it is published. */
  getState (): TargetState {
    return {
      target: this.options.targetName,
      incarnation: this.incarnation,
      state: this.isLeaving ? 'leaving' : 'active',
      running: this.running
    }
  }
}
