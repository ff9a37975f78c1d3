import { type RelayTarget } from '../model/RelayTarget.js'
import { type NamedBackoff } from './TargetBackoffs.js'

/**
 * What a target states about itself in an answer, whatever the answer is. `leaving`: it is about to shut down. `backoff`: it wants no
 * requests of this instance for some time. `cold`: it takes few requests until it is warm.
 */
export type TargetNotice =
  | { readonly kind: 'leaving' }
  | NamedBackoff & { readonly kind: 'backoff' }
  | { readonly kind: 'cold', readonly remainingMs: number }

/**
 * Receives the notices in the answers of a target.
 * @param target - The target.
 * @param notice - The notice.
 */
export type TargetNoticeListener = (target: RelayTarget, notice: TargetNotice) => void
