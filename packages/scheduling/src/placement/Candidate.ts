import { type Target } from '@fescuespoke/common'
import { type TargetCapacity } from '../targets/TargetCapacities.js'
import { type LocalLoad, type RequestShape } from './LocalLoad.js'

/** One target that a request could use, with all that the choice needs. */
export interface Candidate {
  readonly target: Target
  readonly capacity: TargetCapacity
  readonly localLoad: LocalLoad
  /** Highest expected memory that the request will take, in tokens. */
  readonly requiredTokens: number
  /** Projected memory and requests of all instances, without this request. */
  readonly totalTokens: number
  readonly totalSequences: number
  /** Whether the prompt prefix is thought to be cached. */
  readonly hasPrefix: boolean
  readonly isSameZone: boolean
  /** Requests that may run at once for the sake of the target's health. */
  readonly concurrencyLimit: number
}

/** What is known of a request when a target is chosen. */
export interface PlacementRequirements {
  readonly shape: RequestShape
  readonly priority: 'high' | 'normal' | 'low'
}

/**
 * Computes the larger of the shares of memory and batch that would be in use with the request.
 * @param candidate - The target.
 */
export function computeUtilization (candidate: Candidate): number {
  const { capacity, totalTokens, totalSequences, requiredTokens } = candidate
  return Math.max((totalTokens + requiredTokens) / capacity.capacityTokens, (totalSequences + 1) / capacity.maxSequences)
}
