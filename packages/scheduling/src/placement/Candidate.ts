import { type Target } from '@fescuespoke/common'
import { type TargetCapacity } from '../targets/TargetCapacities.js'
import { type LocalLoad, type RequestShape } from './LocalLoad.js'

/** Target that could serve a request, with the data on which picking is based. */
export interface Candidate {
  readonly target: Target
  readonly capacity: TargetCapacity
  readonly localLoad: LocalLoad
  /** Expected peak memory of the request, in tokens. */
  readonly requiredTokens: number
  /** Projected memory and number of requests of all instances, without this request. */
  readonly totalTokens: number
  readonly totalSequences: number
  /** Whether the prompt prefix is expected to be cached at the target. */
  readonly hasPrefix: boolean
  readonly isSameZone: boolean
  /** Maximum number of concurrent requests that the target's health permits. */
  readonly concurrencyLimit: number
}

/** Requirements of a request that has no target yet. */
export interface PlacementRequirements {
  readonly shape: RequestShape
  readonly priority: 'high' | 'normal' | 'low'
}

/**
 * Returns the utilization that the target would have with the request: the larger of its memory and batch utilization.
 * @param candidate - The candidate target.
 */
export function computeUtilization (candidate: Candidate): number {
  const { capacity, totalTokens, totalSequences, requiredTokens } = candidate
  return Math.max((totalTokens + requiredTokens) / capacity.capacityTokens, (totalSequences + 1) / capacity.maxSequences)
}
