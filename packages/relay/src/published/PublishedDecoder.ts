import { type RelayConfiguration } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type PublishedItem } from './PublishedItem.js'

/**
 * Decoded value of a published key. With `refused`, the value is unreadable and the previous value stays in force. An `evacuation` with a
 * problem is unreadable and evacuates no zone.
 */
export type DecodedItem =
  | { readonly kind: 'configuration', readonly configuration: RelayConfiguration }
  | { readonly kind: 'target', readonly target: RelayTarget }
  | { readonly kind: 'targetRemoved', readonly name: string }
  | { readonly kind: 'targetUnreadable', readonly name: string, readonly problem: string }
  | { readonly kind: 'evacuation', readonly availabilityZone: string, readonly isActive: boolean, readonly problem?: string }
  | { readonly kind: 'refused', readonly problem: string }
  | { readonly kind: 'ignored' }

/**
 * Decodes a published key.
 * @param item - The key with its value.
 */
export type PublishedDecoder = (item: PublishedItem) => DecodedItem
