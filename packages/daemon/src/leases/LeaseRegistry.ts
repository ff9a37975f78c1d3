import { type Clock, type Random } from '@fescuespoke/common'
import { Maybe } from 'true-myth'
import { type RequestEntry } from '../requests/RequestEntry.js'
import { formatLeaseToken, type LeaseId } from './LeaseId.js'

/** Number of random bytes in the secret of a lease. */
const SECRET_BYTES = 16

/** A lease granted by this incarnation. */
export interface Lease {
  readonly id: LeaseId
  readonly token: string
  readonly workspace: string
  /** Clock time after which new requests are rejected, in milliseconds. */
  readonly expiresAtMs: number
  /** Requests by the number that the caller chose. */
  readonly requests: Map<number, RequestEntry>
}

/** Options of a lease registry. */
export interface LeaseRegistryOptions {
  readonly instance: string
  readonly incarnation: string
  readonly clock: Clock
  readonly random: Random
  /** Lifetime of a lease in milliseconds. */
  readonly leaseMs: number
  /** Time for which an expired lease and its requests are retained, in milliseconds. */
  readonly retentionMs: number
  /** Maximum number of stored leases. */
  readonly maxLeases: number
}

/** Stores the leases of one incarnation and, through them, every request that it owns. */
export class LeaseRegistry {
  /**
   * Creates an empty registry.
   * @param options - Options of the registry.
   */
  static create (options: LeaseRegistryOptions): LeaseRegistry {
    return new LeaseRegistry(options)
  }

  private readonly leases = new Map<string, Lease>()
  private nextSerial = 1

  /** @internal */
  private constructor (private readonly options: LeaseRegistryOptions) {}

  /**
   * Grants a lease to a workspace.
   * @param workspace - Name of the workspace.
   * @returns The lease, or `Maybe.nothing()` while too many leases are stored.
   */
  grantLease (workspace: string): Maybe<Lease> {
    if (this.leases.size >= this.options.maxLeases) this.pruneLeases()
    if (this.leases.size >= this.options.maxLeases) return Maybe.nothing()
    const { instance, incarnation, clock, random, leaseMs } = this.options
    const id = { instance, incarnation, serial: this.nextSerial++, secret: random.nextString(SECRET_BYTES) }
    const token = formatLeaseToken(id)
    const lease: Lease = { id, token, workspace, expiresAtMs: clock.nowMs() + leaseMs, requests: new Map() }
    this.leases.set(token, lease)
    return Maybe.just(lease)
  }

  /**
   * Finds a stored lease, including an expired one.
   * @param token - Token of the lease.
   */
  findLease (token: string): Maybe<Lease> {
    return Maybe.of(this.leases.get(token))
  }

  /**
   * Returns whether a lease accepts new requests.
   * @param lease - The lease.
   */
  isActive (lease: Lease): boolean {
    return this.options.clock.nowMs() < lease.expiresAtMs
  }

  /** Lists the requests of all stored leases. */
  listRequests (): RequestEntry[] {
    return [...this.leases.values()].flatMap(lease => [...lease.requests.values()])
  }

  /** Removes leases whose retention time has passed and whose requests have ended. */
  pruneLeases (): void {
    const nowMs = this.options.clock.nowMs()
    for (const [token, lease] of this.leases) {
      if (nowMs < lease.expiresAtMs + this.options.retentionMs) continue
      if ([...lease.requests.values()].every(request => request.isEnded())) this.leases.delete(token)
    }
  }

  /** Returns the number of stored leases. */
  countLeases (): number {
    return this.leases.size
  }
}
