import { type RelayConfiguration } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type PublishedItem } from './PublishedItem.js'

/** What a published key says. `refused` names what cannot be read; the key before it stays in force. */
export type DecodedItem =
  | { readonly kind: 'configuration', readonly configuration: RelayConfiguration }
  | { readonly kind: 'target', readonly target: RelayTarget }
  | { readonly kind: 'targetRemoved', readonly name: string }
  | { readonly kind: 'targetUnreadable', readonly name: string, readonly problem: string }
  | { readonly kind: 'refused', readonly problem: string }
  | { readonly kind: 'ignored' }

/**
 * Turns a published key into what it says.
 * @param item - The key.
 */
export type PublishedDecoder = (item: PublishedItem) => DecodedItem
