import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type AddressCache } from '../addresses/AddressCache.js'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { sendHedgedRequest } from '../http/sendHedgedRequest.js'

/** A request lease and the number that one request uses under it. */
export interface RequestId {
  readonly lease: string
  readonly number: number
  /** Base URL of the owner. */
  readonly ownerUrl: string
}

/** Options of a lease book. */
export interface LeaseManagerOptions {
  readonly client: Pick<InstanceClient, 'requestLease'>
  readonly addresses: Pick<AddressCache, 'listUrls' | 'deprioritizeUrl'>
  readonly clock: Clock
  readonly workspace: string
  /** Time in milliseconds without an answer after which another instance is asked as well. */
  readonly hedgeMs: number
}

interface CachedLease {
  readonly lease: string
  readonly ownerUrl: string
  readonly renewAtMs: number
  nextNumber: number
}

/** Part of a lease's life after which a new lease is asked for, so that requests arrive before it expires. */
const LEASE_RENEWAL_FRACTION = 0.5

/** Holds one request lease for each service and numbers the requests under it. */
export class LeaseManager {
  /**
   * Creates an empty book.
   * @param options - Options of the book.
   */
  static create (options: LeaseManagerOptions): LeaseManager {
    return new LeaseManager(options)
  }

  private readonly leasesByService = new Map<string, CachedLease>()
  private readonly pendingRequests = new Map<string, Promise<Result<CachedLease, ExchangeError>>>()

  /** @internal */
  private constructor (private readonly options: LeaseManagerOptions) {}

  /**
   * Acquires a number under the lease of a service, with a new lease when the present one is nearly used up.
   * @param service - Name of the service.
   */
  async allocateRequestId (service: string): Promise<Result<RequestId, ExchangeError>> {
    const cachedLease = this.leasesByService.get(service)
    if (cachedLease !== undefined && cachedLease.renewAtMs > this.options.clock.nowMs()) return Result.ok(createNextRequestId(cachedLease))
    const pendingRequest = this.pendingRequests.get(service) ?? this.startLeaseRequest(service)
    const leaseResult = await pendingRequest
    return leaseResult.map(createNextRequestId)
  }

  /**
   * Removes a lease whose owner takes no more requests; the next lease comes from another instance where possible.
   * @param requestId - Slot under the lease.
   */
  removeLease (requestId: RequestId): void {
    this.options.addresses.deprioritizeUrl(requestId.ownerUrl)
    for (const [service, cachedLease] of this.leasesByService) {
      if (cachedLease.lease === requestId.lease) this.leasesByService.delete(service)
    }
  }

  private startLeaseRequest (service: string): Promise<Result<CachedLease, ExchangeError>> {
    const pendingRequest = this.requestLease(service).finally(() => { this.pendingRequests.delete(service) })
    this.pendingRequests.set(service, pendingRequest)
    return pendingRequest
  }

  private async requestLease (service: string): Promise<Result<CachedLease, ExchangeError>> {
    const { clock, client, addresses, workspace, hedgeMs } = this.options
    const urls = await addresses.listUrls(service)
    const sentAtMs = clock.nowMs()
    const response = await sendHedgedRequest({
      clock,
      hedgeMs,
      urls,
      send: async url => await client.requestLease(url, workspace),
      onFailure: url => addresses.deprioritizeUrl(url)
    })
    return response.map(({ url, value: { lease, validForMs } }) => {
      const cachedLease = { lease, ownerUrl: url, renewAtMs: sentAtMs + validForMs * LEASE_RENEWAL_FRACTION, nextNumber: 1 }
      this.leasesByService.set(service, cachedLease)
      return cachedLease
    })
  }
}

function createNextRequestId (cachedLease: CachedLease): RequestId {
  return { lease: cachedLease.lease, number: cachedLease.nextNumber++, ownerUrl: cachedLease.ownerUrl }
}
