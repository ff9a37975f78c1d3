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
export interface CreditBound {
  readonly tokens: number
  readonly sequences: number
}

/** What all other instances have at a target, as the coordinator last told. */
export interface CreditTotals {
  readonly tokens: number
  readonly sequences: number
  readonly atMs: number
}

/** Options of a ledger. */
export interface CreditLedgerOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  /** Answers in place of the transport when this instance coordinates the target itself. */
  readonly answerLocally: (request: CreditRequest) => CreditAnswer
  readonly instance: string
  /** Receives each end of an exchange, whether it brought a credit or not. */
  readonly observeExchange: (target: string) => void
}

interface Account {
  bound: CreditBound
  validUntilMs: number
  sentMs: number
  isPending: boolean
  bypassUntilMs: number
  totals: CreditTotals | undefined
}

/** How long a coordinator that did not answer is left alone. */
const BYPASS_MS = 500

const NO_BOUND: CreditBound = { tokens: 0, sequences: 0 }

/** Holds this instance's credits and asks the coordinators for them. */
export class CreditLedger {
  /**
   * Creates an empty ledger.
   * @param options - Options.
   */
  static create (options: CreditLedgerOptions): CreditLedger {
    return new CreditLedger(options)
  }

  private readonly accounts = new Map<string, Account>()
  private requestCount = 0
  private bypassCount = 0

  /** @internal */
  private constructor (private readonly options: CreditLedgerOptions) {}

  /**
   * Gets the bound in force at a target; zero without a valid credit.
   * @param target - Name of the target.
   */
  getBound (target: string): CreditBound {
    const account = this.accounts.get(target)
    return account !== undefined && this.options.clock.nowMs() < account.validUntilMs ? account.bound : NO_BOUND
  }

  /**
   * Gets what the others have at a target, as its coordinator last told.
   * @param target - Name of the target.
   */
  getTotals (target: string): CreditTotals | undefined {
    return this.accounts.get(target)?.totals
  }

  /**
   * Checks whether the target's coordinator did not answer lately.
   * @param target - Name of the target.
   */
  isBypassed (target: string): boolean {
    return this.options.clock.nowMs() < (this.accounts.get(target)?.bypassUntilMs ?? -Infinity)
  }

  /**
   * Gets how long ago the coordinator was last asked, in milliseconds.
   * @param target - Name of the target.
   */
  getAskedAgeMs (target: string): number {
    return this.options.clock.nowMs() - (this.accounts.get(target)?.sentMs ?? -Infinity)
  }

  /**
   * Gets for how much longer the credit is valid, in milliseconds; negative when it has expired.
   * @param target - Name of the target.
   */
  getLeftMs (target: string): number {
    return (this.accounts.get(target)?.validUntilMs ?? -Infinity) - this.options.clock.nowMs()
  }

  /**
   * Checks whether an answer is awaited.
   * @param target - Name of the target.
   */
  isPending (target: string): boolean {
    return this.accounts.get(target)?.isPending === true
  }

  /**
   * Asks the coordinator of a target for a share; without an answer in time the target is bypassed for a while.
   * @param target - Name of the target.
   * @param coordinator - Name of the coordinator.
   * @param demand - What is held and wanted.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  async requestCredit (target: string, coordinator: string, demand: CreditDemand, timeoutMs: number): Promise<void> {
    const account = this.getAccount(target)
    if (account.isPending) return
    account.isPending = true
    account.sentMs = this.options.clock.nowMs()
    this.requestCount++
    const request = createRequest(target, demand)
    const answer = await this.fetchAnswer(coordinator, request, timeoutMs)
    account.isPending = false
    answer.match({
      Ok: answer => this.acceptAnswer(account, request, answer),
      Err: () => this.startBypass(account)
    })
    this.options.observeExchange(target)
  }

  /** Gets the number of questions sent so far. */
  getRequestCount (): number {
    return this.requestCount
  }

  /** Gets the number of questions that were not answered in time. */
  getBypassCount (): number {
    return this.bypassCount
  }

  private startBypass (account: Account): void {
    account.bypassUntilMs = this.options.clock.nowMs() + BYPASS_MS
    this.bypassCount++
  }

  private async fetchAnswer (coordinator: string, request: CreditRequest, timeoutMs: number): Promise<Result<CreditAnswer, unknown>> {
    if (coordinator === this.options.instance) return Result.ok(this.options.answerLocally(request))
    return await this.options.transport.request<'creditAnswer'>(coordinator, request, timeoutMs)
  }

  /** Counts the life of a credit from the moment it was asked for, so that it ends before it does at the coordinator. */
  private acceptAnswer (account: Account, request: CreditRequest, answer: CreditAnswer): void {
    account.bound = { tokens: answer.tokens, sequences: answer.sequences }
    account.validUntilMs = account.sentMs + answer.validForMs
    account.bypassUntilMs = -Infinity
    account.totals = {
      tokens: Math.max(0, (answer.totalTokens ?? 0) - request.heldTokens),
      sequences: Math.max(0, (answer.totalSequences ?? 0) - request.heldSequences),
      atMs: this.options.clock.nowMs()
    }
  }

  private getAccount (target: string): Account {
    const known = this.accounts.get(target)
    if (known !== undefined) return known
    const account: Account = { bound: NO_BOUND, validUntilMs: -Infinity, sentMs: -Infinity, isPending: false, bypassUntilMs: -Infinity, totals: undefined }
    this.accounts.set(target, account)
    return account
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
