import { type ModelReference, type Service, type Snapshot, type Target } from '@fescuespoke/common'
import { type Priority, type Reason } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** Properties of a request that determine its placement. */
export interface PlacementRequest {
  /** Id of the request. */
  readonly requestId: string
  readonly workspace: string
  readonly service: Service
  /** Model that the configuration assigns to the request; absent for calls. */
  readonly modelReference?: ModelReference
  /** Configuration snapshot that the request started with. */
  readonly snapshot: Snapshot
  readonly priority: Priority
  /** Estimated length of the prompt, in tokens. */
  readonly promptTokens: number
  /** Maximum length of the output in tokens, if the caller set one. */
  readonly maxTokens?: number
  /** Name of the shared prompt prefix. */
  readonly prefix?: string
  /** Deadline of the answer, in the instance's clock time. */
  readonly deadlineMs: number
  /** Targets that already failed for this request. */
  readonly failedTargets: readonly string[]
  /** Cancels the wait for a target. */
  readonly signal: AbortSignal
}

/** Reason why a request was not placed. No part of the request has been sent to a target. */
export interface PlacementRefusal {
  readonly reason: Reason
  /** Time after which the caller may retry. */
  readonly retryAfterMs?: number
  readonly detail: string
}

/** Outcome of a request at its target. */
export type PlacementOutcome = 'complete' | 'cancelled' | 'targetFailed' | 'targetUnreachable' | 'rejected'

/** Reservation of a target for one request. It counts towards the target's load until it is released. */
export interface Placement {
  readonly target: Target
  /** Model that the target runs for the request. During a rollout this may be the previous version. */
  readonly modelReference?: ModelReference
  /** Explanation of the choice of this target, for operators. */
  readonly detail: string
  /**
   * Records tokens that the target produced.
   * @param totalTokens - Number of tokens produced so far.
   */
  observeTokens(totalTokens: number): void
  /** Records that the target preempted the generation. */
  observePreemption(): void
  /**
   * Releases the target. Calls after the first have no effect.
   * @param outcome - Outcome of the request.
   */
  release(outcome: PlacementOutcome): void
}

/** Assigns requests to targets, queues them while no target has capacity, and refuses those that cannot succeed. */
export interface Scheduler {
  /**
   * Waits until a target admits the request. Refuses the request as soon as waiting can no longer succeed.
   * @param request - The request.
   */
  acquirePlacement(request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>>
}
