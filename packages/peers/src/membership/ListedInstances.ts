import { type ListedEntry } from '@fescuespoke/schema'
import { parsePeerAddress } from '../network/parsePeerAddress.js'

/** Share of the last good list below which a new list is thought to be damaged. */
const MIN_PLAUSIBLE_SHARE = 0.5

/** Entries held at once. */
const MAX_ENTRIES = 8192

/** Entry instances that the platform publishes: where members are looked for. @internal */
export class ListedInstances {
  /**
   * Creates an empty list.
   * @param own - Name of the own instance, which is left out.
   */
  static create (own: string): ListedInstances {
    return new ListedInstances(own)
  }

  private addresses = new Map<string, string>()

  /** @internal */
  private constructor (private readonly own: string) {}

  /**
   * Replaces the list. A list that has lost more than half of its entries only adds to the last good one.
   * @param entries - Published entries; malformed ones are left out.
   */
  replace (entries: readonly ListedEntry[]): void {
    const added = new Map(entries.filter(entry => this.isUsable(entry)).slice(0, MAX_ENTRIES).map(entry => [entry.id, entry.peerAddress ?? '']))
    const isPlausible = added.size > 0 && added.size > this.addresses.size * MIN_PLAUSIBLE_SHARE
    this.addresses = isPlausible ? added : new Map([...added, ...this.addresses, ...added].slice(0, MAX_ENTRIES))
  }

  /**
   * Gets the address of a listed instance.
   * @param instance - Name of the instance.
   */
  getAddress (instance: string): string | undefined {
    return this.addresses.get(instance)
  }

  /** Lists the names of the instances. */
  listNames (): string[] {
    return [...this.addresses.keys()]
  }

  private isUsable (entry: Partial<ListedEntry> | null | undefined): boolean {
    const { id, role, peerAddress } = entry ?? {}
    if (role !== 'entry' || typeof id !== 'string' || typeof peerAddress !== 'string') return false
    return id !== '' && id !== this.own && parsePeerAddress(peerAddress).isJust
  }
}
