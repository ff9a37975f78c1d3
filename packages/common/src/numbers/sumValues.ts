/**
 * Sums a value of each item.
 * @param items - The items.
 * @param getValue - Returns the value of an item.
 */
export function sumValues<T> (items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((sum, item) => sum + getValue(item), 0)
}
