import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type CreditAnswer, type CreditRequest } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { computePeak, type MemoryProfile } from '../admission/MemoryProfile.js'

/** What an instance holds and wants at a target. */
export interface CreditDemand {
  readonly profile: MemoryProfile
  readonly heldSequences: number
  readonly wantTokens: number
  readonly wantSequences: number
}

/** Upper bounds of what this instance may have at a target at once. */
export interface CreditLimit {
  readonly tokens: number
  readonly sequences: number
}

/** What all other instances have at a target, as the coordinator last told. */
export interface PeerLoad {
  readonly tokens: number
  readonly sequences: number
  readonly receivedAtMs: number
}

/** Options of a ledger. */
export interface CreditClientOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  /** Answers in place of the transport when this instance coordinates the target itself. */
  readonly answerLocally: (request: CreditRequest) => CreditAnswer
  readonly instance: string
  /** Receives each end of an exchange, whether it brought a credit or not. */
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

/** How long a coordinator that did not answer is left alone. */
const BYPASS_MS = 500

const ZERO_LIMIT: CreditLimit = { tokens: 0, sequences: 0 }

/** Holds this instance's credits and asks the coordinators for them. */
export class CreditClient {
  /**
   * Creates an empty ledger.
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
   * Gets the bound in force at a target; zero without a valid credit.
   * @param target - Name of the target.
   */
  getLimit (target: string): CreditLimit {
    const credit = this.creditsByTarget.get(target)
    return credit !== undefined && this.options.clock.nowMs() < credit.validUntilMs ? credit.limit : ZERO_LIMIT
  }

  /**
   * Gets what the others have at a target, as its coordinator last told.
   * @param target - Name of the target.
   */
  getPeerLoad (target: string): PeerLoad | undefined {
    return this.creditsByTarget.get(target)?.peerLoad
  }

  /**
   * Checks whether the target's coordinator did not answer lately.
   * @param target - Name of the target.
   */
  isBypassed (target: string): boolean {
    return this.options.clock.nowMs() < (this.creditsByTarget.get(target)?.bypassUntilMs ?? -Infinity)
  }

  /**
   * Gets how long ago the coordinator was last asked, in milliseconds.
   * @param target - Name of the target.
   */
  getRequestAgeMs (target: string): number {
    return this.options.clock.nowMs() - (this.creditsByTarget.get(target)?.requestedAtMs ?? -Infinity)
  }

  /**
   * Gets for how much longer the credit is valid, in milliseconds; negative when it has expired.
   * @param target - Name of the target.
   */
  getRemainingMs (target: string): number {
    return (this.creditsByTarget.get(target)?.validUntilMs ?? -Infinity) - this.options.clock.nowMs()
  }

  /**
   * Checks whether an answer is awaited.
   * @param target - Name of the target.
   */
  isPending (target: string): boolean {
    return this.creditsByTarget.get(target)?.isPending === true
  }

  /**
   * Asks the coordinator of a target for a share; without an answer in time the target is bypassed for a while.
   * @param target - Name of the target.
   * @param coordinator - Name of the coordinator.
   * @param demand - What is held and wanted.
   * @param timeoutMs - Longest wait in milliseconds.
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

  /** Gets the number of questions sent so far. */
  getRequestCount (): number {
    return this.requestCount
  }

  /** Gets the number of questions that were not answered in time. */
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

  /** Counts the life of a credit from the moment it was asked for, so that it ends before it does at the coordinator. */
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
  const { profile, heldSequences, wantTokens, wantSequences } = demand
  return {
    type: 'creditRequest',
    target,
    heldTokens: Math.ceil(computePeak(profile, 0)),
    heldSequences,
    wantTokens: Math.ceil(wantTokens),
    wantSequences: Math.ceil(wantSequences),
    priority: 'normal',
    heldMean: Array.from(profile.mean, Math.round),
    heldDeviation: Array.from(profile.variance, variance => Math.round(Math.sqrt(Math.max(0, variance))))
  }
}
