/** A value and its weight. */
export interface WeightedValue {
  readonly value: number
  readonly weight: number
}

/**
 * Computes the median of values; undefined when there are none.
 * @param values - The values, in any order.
 */
export function computeMedian (values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}

/**
 * Computes the weighted median of values: the lowest one at which half of the weight is reached; undefined without any weight.
 * @param values - The values, in any order.
 */
export function computeWeightedMedian (values: readonly WeightedValue[]): number | undefined {
  const sorted = values.filter(({ weight }) => weight > 0).sort((a, b) => a.value - b.value)
  const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2
  let reached = 0
  return sorted.find(({ weight }) => (reached += weight) >= half)?.value
}
