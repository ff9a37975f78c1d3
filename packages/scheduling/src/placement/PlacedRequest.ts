import { type Clock, type ModelReference, type Target } from '@fescuespoke/common'
import { type Placement, type PlacementOutcome, type PlacementRequest } from '../Scheduler.js'
import { type SchedulerComponents } from '../SchedulerComponents.js'
import { type InFlightRequest, type RequestShape } from './LocalLoad.js'
import { type PickedTarget } from './TargetPicker.js'

/** Options of a placed request. */
export interface PlacedRequestOptions {
  readonly clock: Clock
  readonly components: SchedulerComponents
  readonly request: PlacementRequest
  readonly shape: RequestShape
  readonly picked: PickedTarget
  /** Called when the target may have more free capacity. */
  readonly handleCapacityChange: () => void
}

/** Number of tokens after which a request counts as a success for the target's health. */
const MIN_SUCCESS_TOKENS = 32

/** Request that counts towards the load of its target, and tells the scheduler's statistics how the target serves it. */
export class PlacedRequest implements Placement {
  /**
   * Creates a placed request and adds it to the load of its target.
   * @param options - Options of the placed request.
   */
  static create (options: PlacedRequestOptions): PlacedRequest {
    return new PlacedRequest(options)
  }

  readonly target: Target
  readonly modelReference?: ModelReference
  readonly detail: string
  private readonly inFlightRequest: InFlightRequest
  private lastTokenAtMs: number | undefined
  private isReleased = false

  /** @internal */
  private constructor (private readonly options: PlacedRequestOptions) {
    const { components, request, shape, picked } = options
    this.target = picked.candidate.target
    this.modelReference = components.picker.getServingModel(request, this.target.name)
    this.detail = picked.detail
    this.inFlightRequest = picked.candidate.localLoad.add(shape)
  }

  /** @inheritdoc */
  observeTokens (totalTokens: number): void {
    const { inFlightRequest, target, options: { components: { health }, picked, handleCapacityChange } } = this
    const addedTokens = totalTokens - inFlightRequest.producedTokens
    if (addedTokens <= 0) return
    this.observeTokenInterval(addedTokens)
    if (totalTokens === MIN_SUCCESS_TOKENS) health.observeSuccess(target.name)
    const isFirst = inFlightRequest.producedTokens === 0
    picked.candidate.localLoad.observeTokens(inFlightRequest, totalTokens)
    if (isFirst) handleCapacityChange()
  }

  /** @inheritdoc */
  observePreemption (): void {
    this.options.components.counters.preemptions++
    this.lastTokenAtMs = undefined
  }

  /** @inheritdoc */
  release (outcome: PlacementOutcome): void {
    if (this.isReleased) return
    this.isReleased = true
    this.options.picked.candidate.localLoad.remove(this.inFlightRequest)
    this.handleOutcome(outcome)
    this.options.handleCapacityChange()
  }

  private observeTokenInterval (addedTokens: number): void {
    const { clock, components } = this.options
    const nowMs = clock.nowMs()
    if (this.lastTokenAtMs !== undefined) components.health.observeTokenInterval(this.target.name, (nowMs - this.lastTokenAtMs) / addedTokens)
    this.lastTokenAtMs = nowMs
  }

  private handleOutcome (outcome: PlacementOutcome): void {
    const handlers: Record<PlacementOutcome, () => void> = {
      complete: () => this.observeCompletion(),
      cancelled: () => {},
      targetFailed: () => this.observeFailure(false),
      targetUnreachable: () => this.observeFailure(true),
      rejected: () => this.options.components.health.observeFailure(this.target.name, false)
    }
    handlers[outcome]()
  }

  private observeCompletion (): void {
    const { request: { service, workspace }, components: { health, retryBudget, outputLengths } } = this.options
    const { producedTokens } = this.inFlightRequest
    health.observeSuccess(this.target.name)
    retryBudget.observeSuccess(service.name)
    if (producedTokens > 0) outputLengths.observeLength(service.name, workspace, producedTokens)
  }

  private observeFailure (isUnreachable: boolean): void {
    const { request, components: { health, failedRequests } } = this.options
    health.observeFailure(this.target.name, isUnreachable)
    failedRequests.add(request.requestId)
  }
}
