import { type DecodedItem, type PublishedDecoder } from './PublishedDecoder.js'
import { type PublishedItem } from './PublishedItem.js'

/**
 * Creates a decoder that decodes each item once.
 * @param decodeItem - Decodes an item.
 */
export function createCachedDecoder (decodeItem: PublishedDecoder): PublishedDecoder {
  const decodedItems = new WeakMap<PublishedItem, DecodedItem>()
  return item => {
    const decoded = decodedItems.get(item) ?? decodeItem(item)
    decodedItems.set(item, decoded)
    return decoded
  }
}
