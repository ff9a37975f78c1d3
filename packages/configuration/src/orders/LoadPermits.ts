import { addJitter, type Clock, type PeerTransport, type Random, rankByRendezvous } from '@fescuespoke/common'
import { LoadRateLimiter } from './LoadRateLimiter.js'

/** Options of load permits. */
export interface LoadPermitsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly transport: PeerTransport
  /** Name of this instance. */
  readonly self: string
  /** Lists the names of the other instances that are considered alive. */
  readonly listPeers: () => readonly string[]
  /** Returns the number of instances in the instance list; 0 before the first list. */
  readonly getFleetSize: () => number
  /** Maximum rate of the weight store in loads per minute, over all instances. */
  readonly loadsPerMinute: number
  /** Time in milliseconds for which a share of the rate is delegated. */
  readonly delegationMs?: number
}

const DEFAULT_DELEGATION_MS = 30_000

/** Number of times that a delegation is renewed within its period. */
const RENEWALS_PER_DELEGATION = 6

/**
 * Number of delegation periods after which a share may be delegated to another instance. It is more than one because the
 * last renewal may have reached the previous instance late.
 */
const DELEGATIONS_BEFORE_CHANGE = 2

const ANSWER_TIMEOUT_MS = 500

/**
 * Obtains permits for weight loads, so that all instances together do not exceed the rate of the weight store. Each
 * instance delegates its share of the rate to the granter, an instance chosen by rendezvous hashing.
 */
export class LoadPermits {
  /**
   * Creates permits. They answer requests of peers immediately, but delegate no share until they are started.
   * @param options - Options of the permits.
   */
  static create (options: LoadPermitsOptions): LoadPermits {
    return new LoadPermits(options)
  }

  private readonly limiter: LoadRateLimiter
  private readonly delegationMs: number
  private readonly stopController = new AbortController()
  private task: Promise<void> | undefined
  private granter: string | undefined
  /** Until this time, the share may still be in use by the current granter or by the granter of an earlier incarnation. */
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

  /** Starts delegating the share of this instance. */
  start (): void {
    this.task = this.runRenewals()
  }

  /** Stops renewing the delegation and waits for the end of the task. */
  async stop (): Promise<void> {
    this.stopController.abort()
    await this.task
  }

  /**
   * Requests a permit for one load, which must be ordered immediately.
   * @returns False when the rate allows no load now, or when no granter can be reached.
   */
  async requestPermit (): Promise<boolean> {
    return await this.delegateShare(true)
  }

  /** Counts the shares that are currently delegated to this instance. */
  countDelegatedShares (): number {
    return this.limiter.countDelegatedShares()
  }

  private async runRenewals (): Promise<void> {
    const { clock, random } = this.options
    while (!this.stopController.signal.aborted) {
      await this.delegateShare(false)
      await clock.sleep(addJitter(random, this.delegationMs / RENEWALS_PER_DELEGATION), this.stopController.signal)
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
