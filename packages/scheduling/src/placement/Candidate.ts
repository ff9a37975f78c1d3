import { type Target } from '@fescuespoke/common'
import { type TargetCapacity } from '../targets/TargetCapacities.js'
import { type OwnLoad, type RequestShape } from './OwnLoad.js'

/** One target that a request could use, with all that the choice needs. */
export interface Candidate {
  readonly target: Target
  readonly capacity: TargetCapacity
  readonly own: OwnLoad
  /** Highest expected memory that the request will take, in tokens. */
  readonly needTokens: number
  /** Projected memory and requests of all instances, without this request. */
  readonly totalTokens: number
  readonly totalSequences: number
  /** Whether the prompt prefix is thought to be cached. */
  readonly hasPrefix: boolean
  readonly isSameZone: boolean
  /** Requests that may run at once for the sake of the target's health. */
  readonly allowance: number
}

/** What is known of a request when a target is chosen. */
export interface PlacementNeed {
  readonly shape: RequestShape
  readonly priority: 'high' | 'normal' | 'low'
}

/**
 * Computes the larger of the shares of memory and batch that would be in use with the request.
 * @param candidate - The target.
 */
export function computeLoadShare (candidate: Candidate): number {
  const { capacity, totalTokens, totalSequences, needTokens } = candidate
  return Math.max((totalTokens + needTokens) / capacity.capacityTokens, (totalSequences + 1) / capacity.maxSequences)
}
