/** Measured value at one size. */
export interface DataPoint {
  readonly size: number
  readonly value: number
}

/** Linear fit of a cost over a size. */
export interface LinearFit {
  /** Name of the cost, such as `leaseHeap`. */
  readonly name: string
  /** Unit of the values. */
  readonly unit: string
  /** Item that the sizes count, such as `lease`. */
  readonly per: string
  readonly points: readonly DataPoint[]
  /** Value of the fitted line at size zero. */
  readonly intercept: number
  /** Increase of the fitted line per item. */
  readonly slope: number
  /** Maximum absolute residual, as a share of the maximum absolute value. */
  readonly residualShare: number
}

/** Measured values and their description. */
export type LinearFitInput = Pick<LinearFit, 'name' | 'unit' | 'per' | 'points'>

/**
 * Fits a line to measured values by least squares.
 * @param input - Values, measured at two sizes or more.
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
