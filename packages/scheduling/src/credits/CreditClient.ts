import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type CreditAnswer, type CreditRequest } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { computePeak, type MemoryProfile } from '../admission/MemoryProfile.js'

/** Held load and requested additional capacity of an instance at a target. */
export interface CreditDemand {
  readonly profile: MemoryProfile
  readonly heldSequences: number
  readonly requestedTokens: number
  readonly requestedSequences: number
}

/** Maximum load that this instance may have at a target. */
export interface CreditLimit {
  readonly tokens: number
  readonly sequences: number
}

/** Load of all other instances at a target, as last reported by the coordinator. */
export interface PeerLoad {
  readonly tokens: number
  readonly sequences: number
  readonly receivedAtMs: number
}

/** Options of a credit client. */
export interface CreditClientOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  /** Answers credit requests without the transport when this instance coordinates the target itself. */
  readonly answerLocally: (request: CreditRequest) => CreditAnswer
  readonly instance: string
  /** Called when a credit request ends, whether or not it was answered. */
  readonly handleExchangeEnd: (target: string) => void
}

interface CreditState {
  limit: CreditLimit
  validUntilMs: number
  requestedAtMs: number
  isPending: boolean
  bypassUntilMs: number
  peerLoad: PeerLoad | undefined
}

/** Time for which a coordinator that did not answer is bypassed. */
const BYPASS_MS = 500

const ZERO_LIMIT: CreditLimit = { tokens: 0, sequences: 0 }

/** Requests credits from coordinators and caches the credits of this instance. */
export class CreditClient {
  /**
   * Creates a client without credits.
   * @param options - Options.
   */
  static create (options: CreditClientOptions): CreditClient {
    return new CreditClient(options)
  }

  private readonly creditsByTarget = new Map<string, CreditState>()
  private requestCount = 0
  private bypassCount = 0

  /** @internal */
  private constructor (private readonly options: CreditClientOptions) {}

  /**
   * Returns the current limit at a target; zero without a valid credit.
   * @param target - Name of the target.
   */
  getLimit (target: string): CreditLimit {
    const credit = this.creditsByTarget.get(target)
    return credit !== undefined && this.options.clock.nowMs() < credit.validUntilMs ? credit.limit : ZERO_LIMIT
  }

  /**
   * Returns the load of the other instances at a target, as last reported by its coordinator; undefined before the first answer.
   * @param target - Name of the target.
   */
  getPeerLoad (target: string): PeerLoad | undefined {
    return this.creditsByTarget.get(target)?.peerLoad
  }

  /**
   * Checks whether the target's coordinator is bypassed because it did not answer recently.
   * @param target - Name of the target.
   */
  isBypassed (target: string): boolean {
    return this.options.clock.nowMs() < (this.creditsByTarget.get(target)?.bypassUntilMs ?? -Infinity)
  }

  /**
   * Returns the time since the last credit request for a target, in milliseconds; Infinity if there was none.
   * @param target - Name of the target.
   */
  getRequestAgeMs (target: string): number {
    return this.options.clock.nowMs() - (this.creditsByTarget.get(target)?.requestedAtMs ?? -Infinity)
  }

  /**
   * Returns the remaining validity of the credit, in milliseconds; negative if it has expired.
   * @param target - Name of the target.
   */
  getRemainingMs (target: string): number {
    return (this.creditsByTarget.get(target)?.validUntilMs ?? -Infinity) - this.options.clock.nowMs()
  }

  /**
   * Checks whether a credit request is pending.
   * @param target - Name of the target.
   */
  isPending (target: string): boolean {
    return this.creditsByTarget.get(target)?.isPending === true
  }

  /**
   * Requests credit from the coordinator of a target. If it does not answer in time, the coordinator is bypassed for a while.
   * @param target - Name of the target.
   * @param coordinator - Name of the coordinator.
   * @param demand - Held load and requested additional capacity.
   * @param timeoutMs - Timeout in milliseconds.
   */
  async requestCredit (target: string, coordinator: string, demand: CreditDemand, timeoutMs: number): Promise<void> {
    const credit = this.getCredit(target)
    if (credit.isPending) return
    credit.isPending = true
    credit.requestedAtMs = this.options.clock.nowMs()
    this.requestCount++
    const request = createRequest(target, demand)
    const answer = await this.fetchAnswer(coordinator, request, timeoutMs)
    credit.isPending = false
    answer.match({
      Ok: answer => this.acceptAnswer(credit, request, answer),
      Err: () => this.startBypass(credit)
    })
    this.options.handleExchangeEnd(target)
  }

  /** Returns the number of credit requests so far. */
  getRequestCount (): number {
    return this.requestCount
  }

  /** Returns the number of credit requests that were not answered in time. */
  getBypassCount (): number {
    return this.bypassCount
  }

  private startBypass (credit: CreditState): void {
    credit.bypassUntilMs = this.options.clock.nowMs() + BYPASS_MS
    this.bypassCount++
  }

  private async fetchAnswer (coordinator: string, request: CreditRequest, timeoutMs: number): Promise<Result<CreditAnswer, unknown>> {
    if (coordinator === this.options.instance) return Result.ok(this.options.answerLocally(request))
    return await this.options.transport.request<'creditAnswer'>(coordinator, request, timeoutMs)
  }

  /** Stores a credit. Its validity starts at the time of the request, so that it expires here before it expires at the coordinator. */
  private acceptAnswer (credit: CreditState, request: CreditRequest, answer: CreditAnswer): void {
    credit.limit = { tokens: answer.tokens, sequences: answer.sequences }
    credit.validUntilMs = credit.requestedAtMs + answer.validForMs
    credit.bypassUntilMs = -Infinity
    credit.peerLoad = {
      tokens: Math.max(0, (answer.totalTokens ?? 0) - request.heldTokens),
      sequences: Math.max(0, (answer.totalSequences ?? 0) - request.heldSequences),
      receivedAtMs: this.options.clock.nowMs()
    }
  }

  private getCredit (target: string): CreditState {
    const existing = this.creditsByTarget.get(target)
    if (existing !== undefined) return existing
    const credit: CreditState = { limit: ZERO_LIMIT, validUntilMs: -Infinity, requestedAtMs: -Infinity, isPending: false, bypassUntilMs: -Infinity, peerLoad: undefined }
    this.creditsByTarget.set(target, credit)
    return credit
  }
}

function createRequest (target: string, demand: CreditDemand): CreditRequest {
  const { profile, heldSequences, requestedTokens, requestedSequences } = demand
  return {
    type: 'creditRequest',
    target,
    heldTokens: Math.ceil(computePeak(profile, 0)),
    heldSequences,
    wantTokens: Math.ceil(requestedTokens),
    wantSequences: Math.ceil(requestedSequences),
    priority: 'normal',
    heldMean: Array.from(profile.mean, Math.round),
    heldDeviation: Array.from(profile.variance, variance => Math.round(Math.sqrt(Math.max(0, variance))))
  }
}
