import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type AddressBook } from '../addresses/AddressBook.js'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { requestFirst } from '../http/requestFirst.js'

/** A request lease and the number that one request uses under it. */
export interface RequestSlot {
  readonly lease: string
  readonly number: number
  /** Base URL of the owner. */
  readonly ownerUrl: string
}

/** Options of a lease book. */
export interface LeaseBookOptions {
  readonly client: Pick<InstanceClient, 'requestLease'>
  readonly addresses: Pick<AddressBook, 'listUrls' | 'excludeUrl'>
  readonly clock: Clock
  readonly workspace: string
  /** Time in milliseconds without an answer after which another instance is asked as well. */
  readonly hedgeMs: number
}

interface HeldLease {
  readonly lease: string
  readonly ownerUrl: string
  readonly renewAtMs: number
  nextNumber: number
}

/** Part of a lease's life after which a new lease is asked for, so that requests arrive before it expires. */
const USED_LIFE = 0.5

/** Holds one request lease for each service and numbers the requests under it. */
export class LeaseBook {
  /**
   * Creates an empty book.
   * @param options - Options of the book.
   */
  static create (options: LeaseBookOptions): LeaseBook {
    return new LeaseBook(options)
  }

  private readonly leases = new Map<string, HeldLease>()
  private readonly requests = new Map<string, Promise<Result<HeldLease, ExchangeError>>>()

  /** @internal */
  private constructor (private readonly options: LeaseBookOptions) {}

  /**
   * Acquires a number under the lease of a service, with a new lease when the present one is nearly used up.
   * @param service - Name of the service.
   */
  async acquireSlot (service: string): Promise<Result<RequestSlot, ExchangeError>> {
    const held = this.leases.get(service)
    if (held !== undefined && held.renewAtMs > this.options.clock.nowMs()) return Result.ok(takeSlot(held))
    const running = this.requests.get(service) ?? this.startRequest(service)
    const requested = await running
    return requested.map(takeSlot)
  }

  /**
   * Removes a lease whose owner takes no more requests; the next lease comes from another instance where possible.
   * @param slot - Slot under the lease.
   */
  removeLease (slot: RequestSlot): void {
    this.options.addresses.excludeUrl(slot.ownerUrl)
    for (const [service, held] of this.leases) {
      if (held.lease === slot.lease) this.leases.delete(service)
    }
  }

  private startRequest (service: string): Promise<Result<HeldLease, ExchangeError>> {
    const running = this.requestLease(service).finally(() => { this.requests.delete(service) })
    this.requests.set(service, running)
    return running
  }

  private async requestLease (service: string): Promise<Result<HeldLease, ExchangeError>> {
    const { clock, client, addresses, workspace, hedgeMs } = this.options
    const urls = await addresses.listUrls(service)
    const sentMs = clock.nowMs()
    const granted = await requestFirst({
      clock,
      hedgeMs,
      urls,
      ask: async url => await client.requestLease(url, workspace),
      onFailure: url => addresses.excludeUrl(url)
    })
    return granted.map(({ url, value: { lease, validForMs } }) => {
      const held = { lease, ownerUrl: url, renewAtMs: sentMs + validForMs * USED_LIFE, nextNumber: 1 }
      this.leases.set(service, held)
      return held
    })
  }
}

function takeSlot (held: HeldLease): RequestSlot {
  return { lease: held.lease, number: held.nextNumber++, ownerUrl: held.ownerUrl }
}
