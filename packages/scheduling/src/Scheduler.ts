import { type ModelReference, type Service, type Snapshot, type Target } from '@fescuespoke/common'
import { type Priority, type Reason } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** What has to be known of a request to place it. */
export interface PlacementRequest {
  /** Id of the request. */
  readonly request: string
  readonly workspace: string
  readonly service: Service
  /** Model of the record in force; absent for calls. */
  readonly runs?: ModelReference
  /** Snapshot that the request started with. */
  readonly snapshot: Snapshot
  readonly priority: Priority
  /** Length of the prompt in tokens, estimated. */
  readonly promptTokens: number
  /** Upper bound of the output, when the caller gave one. */
  readonly maxTokens?: number
  /** Name of the shared prompt prefix. */
  readonly prefix?: string
  /** Reading of the instance's clock at which the answer is of no more use. */
  readonly deadlineMs: number
  /** Targets that already failed for this request. */
  readonly failedTargets: readonly string[]
  /** Ends the wait. */
  readonly signal: AbortSignal
}

/** Why a request was not placed; nothing of it has been sent. */
export interface PlacementRefusal {
  readonly reason: Reason
  /** When the caller may try again. */
  readonly retryAfterMs?: number
  readonly detail: string
}

/** How the use of a target ended. */
export type PlacementEnd = 'complete' | 'cancelled' | 'targetFailed' | 'targetUnreachable' | 'rejected'

/** The right to use one target for one request; it counts against the target until released. */
export interface Placement {
  readonly target: Target
  /** Model that the target runs for the request; during a rollout it may be of the version before. */
  readonly runs?: ModelReference
  /** Why this target was chosen, for operators. */
  readonly detail: string
  /**
   * Observes tokens that the target produced.
   * @param totalTokens - Number of tokens so far.
   */
  observeTokens(totalTokens: number): void
  /** Observes that the target preempted the generation. */
  observePreemption(): void
  /**
   * Gives the target back. Later calls do nothing.
   * @param outcome - How its use ended.
   */
  release(outcome: PlacementEnd): void
}

/** Decides which target serves a request, when, and what to refuse. */
export interface Scheduler {
  /**
   * Waits until a target is admitted for a request, or refuses it as soon as waiting cannot succeed.
   * @param request - The request.
   */
  acquirePlacement(request: PlacementRequest): Promise<Result<Placement, PlacementRefusal>>
}
