import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type HoldResult, type RelayMetrics } from '../logs/RelayMetrics.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type HoldError } from '../targets/RelayTargetClient.js'
import { type TargetGateway } from '../targets/TargetGateway.js'
import { type TargetHealth } from '../targets/TargetHealth.js'
import { EngineHold } from './EngineHold.js'
import { EngineClosures } from './EngineClosures.js'

/** Options of reservations at engines. */
export interface EngineHoldsOptions {
  readonly clock: Clock
  readonly gateway: TargetGateway
  readonly health: TargetHealth
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
  /** Returns whether this instance knows only a part of the load of each engine; by default it knows all of it. */
  readonly isLoadPartial?: () => boolean
}

/** A generation for which capacity is reserved. */
export interface HoldRequest {
  readonly requestId: string
  readonly service: ServiceProfile
  readonly target: RelayTarget
  /** Memory to reserve, in tokens: that of the prompt and the whole expected output. */
  readonly tokens: number
  /** Memory with which the target was selected, in tokens; a refusal closes the target for generations that need as much. */
  readonly requiredTokens: number
  /** Time within which the first event is due, in milliseconds. */
  readonly objectiveMs: number
  /** Time after which the request is refused if there is no answer, in milliseconds. */
  readonly giveUpMs: number
  /** Number of engines that were asked before without success, for the log. */
  readonly refusals: number
  /** Aborted when the caller has left or the deadline is reached. */
  readonly signal: AbortSignal
}

/** Reason for which there is no reservation; `late`: there was no answer in time; `aborted`: the request ended during the call, or its time to wait did. */
export type HoldFailure = HoldError | 'late' | 'aborted'

/**
 * Time to wait for an answer, and time for which a full engine is not asked again, as a share of the time within which the first event
 * is due or of the longest lifetime of a reservation, whichever is shorter: several engines can be asked within the objective.
 */
const CALL_SHARE = 1 / 8

/** Lifetime of an unused reservation as a multiple of the time to wait for its answer; a connection to the engine may have to be opened as well. */
const TTL_FACTOR = 4

/** Takes and drops reservations of capacity at engines, and closes engines that refuse one for a short time. */
export class EngineHolds {
  /**
   * Creates reservations without records.
   * @param options - Options of the reservations.
   */
  static create (options: EngineHoldsOptions): EngineHolds {
    return new EngineHolds(options)
  }

  private readonly closures: EngineClosures

  /** @internal */
  private constructor (private readonly options: EngineHoldsOptions) {
    this.closures = EngineClosures.create(options.clock)
  }

  /**
   * Returns whether generations of a service need reservations: its engines grant them, and no instance knows the whole load of an engine.
   * @param service - The service.
   */
  isActive ({ engine }: ServiceProfile): boolean {
    return (engine?.maxHoldMs ?? 0) > 0 && this.options.isLoadPartial?.() === true
  }

  /**
   * Returns the time for which a target is not asked again after it refused a reservation, in milliseconds.
   * @param target - The target.
   * @param requiredTokens - Memory that a generation needs, in tokens.
   */
  getWaitMs (target: RelayTarget, requiredTokens: number): number {
    return this.closures.getWaitMs(target, requiredTokens)
  }

  /**
   * Records that a generation of this instance ended at an engine, which may have capacity again.
   * @param target - The engine.
   */
  recordEnd (target: RelayTarget): void {
    this.closures.open(target)
  }

  /**
   * Takes a reservation at an engine. Returns early when the request ends; a reservation that comes too late is dropped.
   * @param request - The generation.
   */
  async takeHold (request: HoldRequest): Promise<Result<EngineHold, HoldFailure>> {
    const { clock } = this.options
    const startedAtMs = clock.nowMs()
    const timeoutMs = computeCallTimeoutMs(request)
    const ttlMs = Math.max(1, Math.floor(Math.min(request.service.engine?.maxHoldMs ?? 0, TTL_FACTOR * timeoutMs)))
    const call = this.callEngine(request, ttlMs)
    const result = await this.waitForAnswer(call, timeoutMs, request)
    if (result.isErr && (result.error === 'aborted' || result.error === 'late')) this.dropLate(call)
    this.recordResult(request, result, { ttlMs, answerMs: Math.round(clock.nowMs() - startedAtMs) })
    return result
  }

  /** Asks the engine, and goes on to wait for its answer until a reservation would have expired. */
  private async callEngine (request: HoldRequest, ttlMs: number): Promise<Result<EngineHold, HoldError>> {
    const { target, tokens } = request
    const answer = await this.options.gateway.takeHold({ target, tokens, ttlMs, timeoutMs: ttlMs })
    return answer.map(id => EngineHold.create({ id, onDrop: () => this.dropHold(request, id, ttlMs) }))
  }

  private async waitForAnswer (call: Promise<Result<EngineHold, HoldError>>, timeoutMs: number, { giveUpMs, signal }: HoldRequest): Promise<Result<EngineHold, HoldFailure>> {
    if (signal.aborted) return Result.err('aborted')
    return await new Promise(resolve => {
      const finish = (result: Result<EngineHold, HoldFailure>): void => {
        cancelTimer()
        signal.removeEventListener('abort', handleAbort)
        resolve(result)
      }
      const handleAbort = (): void => finish(Result.err('aborted'))
      const cancelTimer = this.options.clock.startTimer(Math.min(timeoutMs, giveUpMs), () => finish(Result.err(giveUpMs < timeoutMs ? 'aborted' : 'late')))
      signal.addEventListener('abort', handleAbort)
      call.then(finish)
    })
  }

  private dropLate (call: Promise<Result<EngineHold, HoldError>>): void {
    call.then(result => { if (result.isOk) result.value.drop() })
  }

  private dropHold ({ requestId, service, target }: HoldRequest, hold: string, timeoutMs: number): void {
    this.options.metrics.countHold(service.name, 'dropped')
    this.options.log.recordDecision(requestId, 'reservation dropped', { target: target.name, hold })
    this.options.gateway.dropHold(target, hold, timeoutMs)
  }

  /** Closes an engine that has no capacity, or whose answers come late; returns for how long. */
  private closeEngine (request: HoldRequest, reason: HoldFailure): number | undefined {
    if (reason !== 'full' && reason !== 'late') return undefined
    const closedMs = computeCallTimeoutMs(request)
    this.closures.close(request.target, reason === 'full' ? request.requiredTokens : 0, closedMs)
    return closedMs
  }

  private recordResult (request: HoldRequest, result: Result<EngineHold, HoldFailure>, times: { readonly ttlMs: number, readonly answerMs: number }): void {
    const { metrics, log, health } = this.options
    const { requestId, service, target, tokens, refusals } = request
    if (result.isOk) {
      metrics.countHold(service.name, 'taken')
      return log.recordDecision(requestId, 'reservation taken', { target: target.name, hold: result.value.id, tokens, refusals, ...times })
    }
    const reason = result.error
    const closedMs = this.closeEngine(request, reason)
    if (reason === 'unreachable') health.recordOutcome(target.name, 'unreachable')
    if (reason !== 'aborted') metrics.countHold(service.name, HOLD_RESULTS[reason])
    // The other refusals of a request are in the line that ends its search for an engine.
    if (reason !== 'full' || refusals === 0) log.recordDecision(requestId, 'reservation not taken', { target: target.name, reason, tokens, refusals, closedMs, ...times })
  }
}

/** Results in the counters, by reason. */
const HOLD_RESULTS: Record<Exclude<HoldFailure, 'aborted'>, HoldResult> = { full: 'refused', unreachable: 'failed', closed: 'failed', unanswered: 'failed', mismatched: 'failed', late: 'failed' }

function computeCallTimeoutMs ({ service, objectiveMs }: HoldRequest): number {
  return CALL_SHARE * Math.min(service.engine?.maxHoldMs ?? 0, objectiveMs)
}
