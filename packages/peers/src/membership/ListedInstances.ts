import { type ListedEntry } from '@fescuespoke/schema'
import { parsePeerAddress } from '../network/parsePeerAddress.js'

/** A new list with at most this fraction of the entries of the current list is assumed to be incomplete. */
const MIN_PLAUSIBLE_FRACTION = 0.5

/** Maximum number of entries. */
const MAX_ENTRIES = 8192

/** Instances in the list published by the platform, used to discover members. @internal */
export class ListedInstances {
  /**
   * Creates an empty list.
   * @param localInstance - Name of the local instance, which is excluded from the list.
   */
  static create (localInstance: string): ListedInstances {
    return new ListedInstances(localInstance)
  }

  private addresses = new Map<string, string>()

  /** @internal */
  private constructor (private readonly localInstance: string) {}

  /**
   * Replaces the list. If the new list has at most half as many entries as the current one, its entries are merged into
   * the current list instead.
   * @param entries - Published entries. Malformed entries are ignored.
   */
  replace (entries: readonly ListedEntry[]): void {
    const receivedAddresses = new Map(entries.filter(entry => this.isValidEntry(entry)).slice(0, MAX_ENTRIES).map(entry => [entry.id, entry.peerAddress ?? '']))
    const isPlausible = receivedAddresses.size > 0 && receivedAddresses.size > this.addresses.size * MIN_PLAUSIBLE_FRACTION
    this.addresses = isPlausible ? receivedAddresses : new Map([...receivedAddresses, ...this.addresses, ...receivedAddresses].slice(0, MAX_ENTRIES))
  }

  /**
   * Returns the peer address of an instance, or undefined if it is not listed.
   * @param instance - Name of the instance.
   */
  getAddress (instance: string): string | undefined {
    return this.addresses.get(instance)
  }

  /** Returns the names of the listed instances. */
  listNames (): string[] {
    return [...this.addresses.keys()]
  }

  private isValidEntry (entry: Partial<ListedEntry> | null | undefined): boolean {
    const { id, role, peerAddress } = entry ?? {}
    if (role !== 'entry' || typeof id !== 'string' || typeof peerAddress !== 'string') return false
    return id !== '' && id !== this.localInstance && parsePeerAddress(peerAddress).isJust
  }
}
