import { addJitter, type Clock, type PeerTransport, type Random, rankByRendezvous } from '@fescuespoke/common'
import { LoadRateLimiter } from './LoadRateLimiter.js'

/** Options of load permits. */
export interface LoadPermitsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly transport: PeerTransport
  /** Name of this instance. */
  readonly self: string
  /** Lists the names of the other instances thought alive. */
  readonly listPeers: () => readonly string[]
  /** Gets the number of entry instances in the last good instance list; 0 before the first. */
  readonly getFleetSize: () => number
  /** Rate of the weight store in loads a minute, over all instances. */
  readonly loadsPerMinute: number
  /** Time in milliseconds for which a share is lent. */
  readonly delegationMs?: number
}

const DEFAULT_DELEGATION_MS = 30_000

/** Number of times that a share is lent again within the time for which it is lent. */
const RENEWALS_PER_DELEGATION = 6

/** Number of lending times after which a share is lent to another instance; it may have reached the one before it late. */
const DELEGATIONS_BEFORE_CHANGE = 2

const ANSWER_TIMEOUT_MS = 500

/** Obtains permits for weight loads, so that all instances together keep to the rate of the weight store. */
export class LoadPermits {
  /**
   * Creates permits and answers peers from now on; nothing is lent before the start.
   * @param options - Options of the permits.
   */
  static create (options: LoadPermitsOptions): LoadPermits {
    return new LoadPermits(options)
  }

  private readonly limiter: LoadRateLimiter
  private readonly delegationMs: number
  private readonly abort = new AbortController()
  private task: Promise<void> | undefined
  private granter: string | undefined
  /** Until then the share may still be in use by the granter so far, or by that of an earlier incarnation. */
  private granterFixedUntilMs: number

  /** @internal */
  private constructor (private readonly options: LoadPermitsOptions) {
    const { clock, transport, loadsPerMinute, getFleetSize } = options
    this.delegationMs = options.delegationMs ?? DEFAULT_DELEGATION_MS
    this.limiter = LoadRateLimiter.create({ clock, loadsPerMinute, getFleetSize, delegationMs: this.delegationMs })
    this.granterFixedUntilMs = clock.nowMs() + this.delegationMs
    transport.setHandler('loadPermitRequest', ({ wants }, from) => ({
      type: 'loadPermitAnswer',
      granted: this.limiter.requestPermit(from, wants)
    }))
  }

  /** Starts to lend this instance's share. */
  start (): void {
    this.task = this.runRenewals()
  }

  /** Stops lending and waits for the end of the task. */
  async stop (): Promise<void> {
    this.abort.abort()
    await this.task
  }

  /**
   * Asks for the permit of one load, to be ordered at once.
   * @returns False when the rate allows no load now, or nobody who could tell is within reach.
   */
  async requestPermit (): Promise<boolean> {
    return await this.delegateShare(true)
  }

  /** Counts the shares that other instances have lent to this one. */
  countDelegatedShares (): number {
    return this.limiter.countDelegatedShares()
  }

  private async runRenewals (): Promise<void> {
    const { clock, random } = this.options
    while (!this.abort.signal.aborted) {
      await this.delegateShare(false)
      await clock.sleep(addJitter(random, this.delegationMs / RENEWALS_PER_DELEGATION), this.abort.signal)
    }
  }

  private async delegateShare (isPermitRequested: boolean): Promise<boolean> {
    const granter = this.pickGranter()
    if (granter === undefined) return false
    const { self, clock, transport } = this.options
    if (granter === self) {
      this.granterFixedUntilMs = clock.nowMs() + this.delegationMs * DELEGATIONS_BEFORE_CHANGE
      return this.limiter.requestPermit(self, isPermitRequested)
    }
    const message = { type: 'loadPermitRequest' as const, wants: isPermitRequested }
    const answer = await transport.request<'loadPermitAnswer'>(granter, message, ANSWER_TIMEOUT_MS)
    this.granterFixedUntilMs = clock.nowMs() + this.delegationMs * DELEGATIONS_BEFORE_CHANGE
    return answer.isOk && answer.value.granted
  }

  private pickGranter (): string | undefined {
    const { self, listPeers, clock } = this.options
    const [first] = rankByRendezvous('weight loads', [self, ...listPeers()])
    if (first === this.granter) return first
    if (clock.nowMs() < this.granterFixedUntilMs) return undefined
    this.granter = first
    return first
  }
}
