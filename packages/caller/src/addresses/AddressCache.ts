import { type Clock, type Random, pickIndex } from '@fescuespoke/common'
import { type Address, type AddressAnswer } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { sendHedgedRequest } from '../http/sendHedgedRequest.js'

/** Options of an address cache. */
export interface AddressCacheOptions {
  readonly client: Pick<InstanceClient, 'fetchAddresses'>
  readonly clock: Clock
  readonly random: Random
  readonly workspace: string
  /** Base URLs of instances that return addresses. Needed while the cache is empty, and as a fallback later. */
  readonly bootstrapUrls: readonly string[]
  /** Availability zone whose instances are ranked first. */
  readonly availabilityZone?: string
  /**
   * Hedging delay in milliseconds. If no response has arrived after it, the request is also sent to another instance.
   */
  readonly hedgeMs: number
  /** Time for which an instance is ranked last after a failure, in milliseconds. */
  readonly avoidMs: number
}

const EMPTY_RESPONSE_ERROR: ExchangeError = { kind: 'interrupted', detail: 'the instance returned no addresses' }

interface CachedAddresses {
  readonly addresses: readonly Address[]
  readonly validUntilMs: number
}

/** Caches the ranked addresses of each service for the validity time stated in the response. */
export class AddressCache {
  /**
   * Creates an empty cache.
   * @param options - Options of the cache.
   */
  static create (options: AddressCacheOptions): AddressCache {
    return new AddressCache(options)
  }

  private readonly cachedAddresses = new Map<string, CachedAddresses>()
  private readonly pendingFetches = new Map<string, Promise<readonly string[]>>()
  private readonly deprioritizedUntilMs = new Map<string, number>()

  /** @internal */
  private constructor (private readonly options: AddressCacheOptions) {}

  /**
   * Returns the base URLs for a service, best first. Fetches the addresses if the cached ones have expired. If no
   * instance responds, the expired addresses are returned.
   * @param service - Name of the service.
   */
  async listUrls (service: string): Promise<readonly string[]> {
    const cached = this.cachedAddresses.get(service)
    if (cached !== undefined && cached.validUntilMs > this.options.clock.nowMs()) return this.rankUrls(cached.addresses)
    const pendingFetch = this.pendingFetches.get(service)
    if (pendingFetch !== undefined) return await pendingFetch
    const newFetch = this.fetchUrls(service)
    this.pendingFetches.set(service, newFetch)
    try {
      return await newFetch
    } finally {
      this.pendingFetches.delete(service)
    }
  }

  /**
   * Ranks an instance last for `avoidMs`, because it failed or is draining.
   * @param url - Base URL of the instance.
   */
  deprioritizeUrl (url: string): void {
    this.deprioritizedUntilMs.set(url, this.options.clock.nowMs() + this.options.avoidMs)
  }

  private async fetchUrls (service: string): Promise<readonly string[]> {
    const { clock, client, workspace, hedgeMs } = this.options
    const sentAtMs = clock.nowMs()
    const response = await sendHedgedRequest({
      clock,
      hedgeMs,
      urls: this.listCandidateUrls(service),
      send: async url => rejectEmptyResponse(await client.fetchAddresses(url, service, workspace)),
      onFailure: url => this.deprioritizeUrl(url)
    })
    if (response.isOk) return this.cacheResponse(service, response.value.value, sentAtMs)
    return this.rankUrls(this.cachedAddresses.get(service)?.addresses ?? [])
  }

  /**
   * Every instance can return the addresses of every service, so the list includes instances cached for other services.
   * Instances that failed recently come last.
   */
  private listCandidateUrls (service: string): string[] {
    const { random, bootstrapUrls } = this.options
    const serviceUrls = this.rankUrls(this.cachedAddresses.get(service)?.addresses ?? [])
    const otherServiceUrls = [...this.cachedAddresses.values()].flatMap(({ addresses }) => this.rankUrls(addresses))
    const urls = [...new Set([...serviceUrls, ...shuffleUrls(random, bootstrapUrls), ...otherServiceUrls])]
    return [...urls.filter(url => !this.isDeprioritized(url)), ...urls.filter(url => this.isDeprioritized(url))]
  }

  private isDeprioritized (url: string): boolean {
    return (this.deprioritizedUntilMs.get(url) ?? 0) > this.options.clock.nowMs()
  }

  private cacheResponse (service: string, response: AddressAnswer, sentAtMs: number): readonly string[] {
    this.cachedAddresses.set(service, { addresses: response.addresses, validUntilMs: sentAtMs + response.validForMs })
    return this.rankUrls(response.addresses)
  }

  private rankUrls (addresses: readonly Address[]): readonly string[] {
    const computePenalty = ({ url, availabilityZone }: Address): number => {
      const isInOtherZone = this.options.availabilityZone !== undefined && availabilityZone !== this.options.availabilityZone
      return (this.isDeprioritized(url) ? 2 : 0) + (isInOtherZone ? 1 : 0)
    }
    return [...addresses].sort((a, b) => computePenalty(a) - computePenalty(b)).map(address => address.url)
  }
}

/** Treats an empty list of addresses as a failure, so that another instance is tried. */
function rejectEmptyResponse (response: Result<AddressAnswer, ExchangeError>): Result<AddressAnswer, ExchangeError> {
  return response.andThen(value => value.addresses.length > 0 ? response : Result.err<AddressAnswer, ExchangeError>(EMPTY_RESPONSE_ERROR))
}

function shuffleUrls (random: Random, urls: readonly string[]): string[] {
  const remaining = [...urls]
  const shuffled: string[] = []
  while (remaining.length > 0) shuffled.push(...remaining.splice(pickIndex(random, remaining.length), 1))
  return shuffled
}
