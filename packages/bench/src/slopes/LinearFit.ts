/** One measured value at one size. */
export interface DataPoint {
  readonly size: number
  readonly value: number
}

/** How one cost grows. */
export interface LinearFit {
  /** What was measured, for instance `leaseHeapBytes`. */
  readonly name: string
  /** Unit of the values. */
  readonly unit: string
  /** What the sizes count. */
  readonly per: string
  readonly points: readonly DataPoint[]
  /** Value at size zero of the fitted line. */
  readonly intercept: number
  /** Growth for one more of what the sizes count. */
  readonly slope: number
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly residualShare: number
}

/** What a slope is made from. */
export type LinearFitInput = Pick<LinearFit, 'name' | 'unit' | 'per' | 'points'>

/**
 * Fits a line to measured values by least squares.
 * @param input - What was measured, at two sizes or more.
 */
export function fitLine (input: LinearFitInput): LinearFit {
  const { points } = input
  const meanSize = computeMean(points.map(({ size }) => size))
  const meanValue = computeMean(points.map(({ value }) => value))
  const covariance = computeMean(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)))
  const variance = computeMean(points.map(({ size }) => (size - meanSize) ** 2))
  const slope = covariance / variance
  const intercept = meanValue - slope * meanSize
  const residuals = points.map(({ size, value }) => Math.abs(value - intercept - slope * size))
  const largestValue = Math.max(...points.map(({ value }) => Math.abs(value)))
  return { ...input, intercept, slope, residualShare: largestValue === 0 ? 0 : Math.max(...residuals) / largestValue }
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
