import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type AddressCache } from '../addresses/AddressCache.js'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { sendHedgedRequest } from '../http/sendHedgedRequest.js'

/** Id of a request, made of a lease and the number of the request under that lease, with the URL of its owner. */
export interface RequestId {
  readonly lease: string
  readonly number: number
  /** Base URL of the instance that granted the lease and owns the request. */
  readonly ownerUrl: string
}

/** Options of a lease manager. */
export interface LeaseManagerOptions {
  readonly client: Pick<InstanceClient, 'requestLease'>
  readonly addresses: Pick<AddressCache, 'listUrls' | 'deprioritizeUrl'>
  readonly clock: Clock
  readonly workspace: string
  /**
   * Hedging delay in milliseconds. If no response has arrived after it, the request is also sent to another instance.
   */
  readonly hedgeMs: number
}

interface CachedLease {
  readonly lease: string
  readonly ownerUrl: string
  readonly renewAtMs: number
  nextNumber: number
}

/** Fraction of the lifetime of a lease after which it is renewed, so that requests arrive before it expires. */
const LEASE_RENEWAL_FRACTION = 0.5

/** Keeps one request lease per service and allocates request ids under it. */
export class LeaseManager {
  /**
   * Creates a manager without leases.
   * @param options - Options of the manager.
   */
  static create (options: LeaseManagerOptions): LeaseManager {
    return new LeaseManager(options)
  }

  private readonly leasesByService = new Map<string, CachedLease>()
  private readonly pendingLeaseRequests = new Map<string, Promise<Result<CachedLease, ExchangeError>>>()

  /** @internal */
  private constructor (private readonly options: LeaseManagerOptions) {}

  /**
   * Allocates a request id under the lease of a service. Requests a new lease if there is none or if it is due for
   * renewal.
   * @param service - Name of the service.
   */
  async allocateRequestId (service: string): Promise<Result<RequestId, ExchangeError>> {
    const cachedLease = this.leasesByService.get(service)
    if (cachedLease !== undefined && cachedLease.renewAtMs > this.options.clock.nowMs()) return Result.ok(createNextRequestId(cachedLease))
    const pendingLeaseRequest = this.pendingLeaseRequests.get(service) ?? this.startLeaseRequest(service)
    const leaseResult = await pendingLeaseRequest
    return leaseResult.map(createNextRequestId)
  }

  /**
   * Removes a lease whose owner accepts no more requests. The next lease is requested from another instance if
   * possible.
   * @param requestId - Any request id under the lease.
   */
  removeLease (requestId: RequestId): void {
    this.options.addresses.deprioritizeUrl(requestId.ownerUrl)
    for (const [service, cachedLease] of this.leasesByService) {
      if (cachedLease.lease === requestId.lease) this.leasesByService.delete(service)
    }
  }

  private startLeaseRequest (service: string): Promise<Result<CachedLease, ExchangeError>> {
    const pendingLeaseRequest = this.requestLease(service).finally(() => { this.pendingLeaseRequests.delete(service) })
    this.pendingLeaseRequests.set(service, pendingLeaseRequest)
    return pendingLeaseRequest
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
