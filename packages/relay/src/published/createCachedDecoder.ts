import { type DecodedItem, type PublishedDecoder } from './PublishedDecoder.js'
import { type PublishedItem } from './PublishedItem.js'

/**
 * Creates a decoder that decodes each item once. An item on which the decoder fails is refused, so that the other items are applied.
 * @param decodeItem - Decodes an item.
 */
export function createCachedDecoder (decodeItem: PublishedDecoder): PublishedDecoder {
  const decodedItems = new WeakMap<PublishedItem, DecodedItem>()
  return item => {
    const decoded = decodedItems.get(item) ?? decodeSafely(decodeItem, item)
    decodedItems.set(item, decoded)
    return decoded
  }
}

function decodeSafely (decodeItem: PublishedDecoder, item: PublishedItem): DecodedItem {
  try {
    return decodeItem(item)
  } catch (error) {
    return { kind: 'refused', problem: `the decoder failed: ${(error as Error).message}` }
  }
}
