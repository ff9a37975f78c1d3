import { type Clock, type Random, pickIndex } from '@fescuespoke/common'
import { type Address, type AddressAnswer } from '@fescuespoke/schema'
import { type InstanceClient } from '../http/InstanceClient.js'

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
  /** How long an instance that failed is ranked last, in milliseconds. */
  readonly avoidMs: number
}

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
  private readonly avoidedUntilMs = new Map<string, number>()

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
    this.avoidedUntilMs.set(url, this.options.clock.nowMs() + this.options.avoidMs)
  }

  private async fetchUrls (service: string): Promise<readonly string[]> {
    const known = this.answers.get(service)?.addresses ?? []
    const bootstrap = rankAtRandom(this.options.random, this.options.bootstrapUrls)
    for (const url of new Set([...this.rankUrls(known), ...bootstrap])) {
      const sentMs = this.options.clock.nowMs()
      const answer = await this.options.client.fetchAddresses(url, service, this.options.workspace)
      if (answer.isOk && answer.value.addresses.length > 0) return this.acceptAnswer(service, answer.value, sentMs)
      if (answer.isErr) this.excludeUrl(url)
    }
    return this.rankUrls(known)
  }

  private acceptAnswer (service: string, answer: AddressAnswer, sentMs: number): readonly string[] {
    this.answers.set(service, { addresses: answer.addresses, validUntilMs: sentMs + answer.validForMs })
    return this.rankUrls(answer.addresses)
  }

  private rankUrls (addresses: readonly Address[]): readonly string[] {
    const nowMs = this.options.clock.nowMs()
    const computePenalty = ({ url, availabilityZone }: Address): number => {
      const isAvoided = (this.avoidedUntilMs.get(url) ?? 0) > nowMs
      const isFar = this.options.availabilityZone !== undefined && availabilityZone !== this.options.availabilityZone
      return (isAvoided ? 2 : 0) + (isFar ? 1 : 0)
    }
    return [...addresses].sort((a, b) => computePenalty(a) - computePenalty(b)).map(address => address.url)
  }
}

function rankAtRandom (random: Random, urls: readonly string[]): string[] {
  const left = [...urls]
  const shuffled: string[] = []
  while (left.length > 0) shuffled.push(...left.splice(pickIndex(random, left.length), 1))
  return shuffled
}
