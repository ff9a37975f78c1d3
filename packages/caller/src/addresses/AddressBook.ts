import { type Clock, type Random, pickIndex } from '@fescuespoke/common'
import { type Address, type AddressAnswer } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ExchangeError } from '../http/ExchangeError.js'
import { type InstanceClient } from '../http/InstanceClient.js'
import { requestFirst } from '../http/requestFirst.js'

/** Options of an address book. */
export interface AddressBookOptions {
  readonly client: Pick<InstanceClient, 'fetchAddresses'>
  readonly clock: Clock
  readonly random: Random
  readonly workspace: string
  /** Base URLs that are asked while no other address is known. */
  readonly bootstrapUrls: readonly string[]
  /** Availability zone whose instances go first. */
  readonly availabilityZone?: string
  /** Time in milliseconds without an answer after which another instance is asked as well. */
  readonly hedgeMs: number
  /** How long an instance that failed is ranked last, in milliseconds. */
  readonly avoidMs: number
}

const EMPTY_ANSWER: ExchangeError = { kind: 'cut', detail: 'the instance knows no address' }

interface HeldAnswer {
  readonly addresses: readonly Address[]
  readonly validUntilMs: number
}

/** Holds the ranked addresses of each service for as long as their answer allows. */
export class AddressBook {
  /**
   * Creates an empty book.
   * @param options - Options of the book.
   */
  static create (options: AddressBookOptions): AddressBook {
    return new AddressBook(options)
  }

  private readonly answers = new Map<string, HeldAnswer>()
  private readonly fetches = new Map<string, Promise<readonly string[]>>()
  private readonly excludedUntilMs = new Map<string, number>()

  /** @internal */
  private constructor (private readonly options: AddressBookOptions) {}

  /**
   * Lists the base URLs for a service, best first. It asks an instance when the last answer is too old, and keeps
   * that answer when none replies.
   * @param service - Name of the service.
   */
  async listUrls (service: string): Promise<readonly string[]> {
    const held = this.answers.get(service)
    if (held !== undefined && held.validUntilMs > this.options.clock.nowMs()) return this.rankUrls(held.addresses)
    const running = this.fetches.get(service)
    if (running !== undefined) return await running
    const fetching = this.fetchUrls(service)
    this.fetches.set(service, fetching)
    try {
      return await fetching
    } finally {
      this.fetches.delete(service)
    }
  }

  /**
   * Ranks an instance last for a while, because it failed or is draining.
   * @param url - Base URL of the instance.
   */
  excludeUrl (url: string): void {
    this.excludedUntilMs.set(url, this.options.clock.nowMs() + this.options.avoidMs)
  }

  private async fetchUrls (service: string): Promise<readonly string[]> {
    const { clock, client, workspace, hedgeMs } = this.options
    const sentMs = clock.nowMs()
    const answer = await requestFirst({
      clock,
      hedgeMs,
      urls: this.listKnownUrls(service),
      ask: async url => refuseEmptyAnswer(await client.fetchAddresses(url, service, workspace)),
      onFailure: url => this.excludeUrl(url)
    })
    if (answer.isOk) return this.acceptAnswer(service, answer.value.value, sentMs)
    return this.rankUrls(this.answers.get(service)?.addresses ?? [])
  }

  /** Any instance answers, so those of other services are asked too; those that failed lately come last. */
  private listKnownUrls (service: string): string[] {
    const { random, bootstrapUrls } = this.options
    const own = this.rankUrls(this.answers.get(service)?.addresses ?? [])
    const others = [...this.answers.values()].flatMap(({ addresses }) => this.rankUrls(addresses))
    const urls = [...new Set([...own, ...rankAtRandom(random, bootstrapUrls), ...others])]
    return [...urls.filter(url => !this.isExcluded(url)), ...urls.filter(url => this.isExcluded(url))]
  }

  private isExcluded (url: string): boolean {
    return (this.excludedUntilMs.get(url) ?? 0) > this.options.clock.nowMs()
  }

  private acceptAnswer (service: string, answer: AddressAnswer, sentMs: number): readonly string[] {
    this.answers.set(service, { addresses: answer.addresses, validUntilMs: sentMs + answer.validForMs })
    return this.rankUrls(answer.addresses)
  }

  private rankUrls (addresses: readonly Address[]): readonly string[] {
    const computePenalty = ({ url, availabilityZone }: Address): number => {
      const isFar = this.options.availabilityZone !== undefined && availabilityZone !== this.options.availabilityZone
      return (this.isExcluded(url) ? 2 : 0) + (isFar ? 1 : 0)
    }
    return [...addresses].sort((a, b) => computePenalty(a) - computePenalty(b)).map(address => address.url)
  }
}

/** An instance that knows no address is of no use. */
function refuseEmptyAnswer (answer: Result<AddressAnswer, ExchangeError>): Result<AddressAnswer, ExchangeError> {
  return answer.andThen(value => value.addresses.length > 0 ? answer : Result.err<AddressAnswer, ExchangeError>(EMPTY_ANSWER))
}

function rankAtRandom (random: Random, urls: readonly string[]): string[] {
  const left = [...urls]
  const shuffled: string[] = []
  while (left.length > 0) shuffled.push(...left.splice(pickIndex(random, left.length), 1))
  return shuffled
}
