import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayRoute, type RouteKind, type ServiceProfile } from '../model/RelayConfiguration.js'
import { type GenerationTimeEstimator } from '../placement/GenerationTimeEstimator.js'
import { type RelayRequest } from '../requests/RelayRequest.js'
import { type AnswerDurations, type CallKind } from './AnswerDurations.js'
import { DrainSchedule } from './DrainSchedule.js'
import { FastestPaces } from './FastestPaces.js'
import { type TargetPace } from './TargetPace.js'

/** Options of a drain admission. */
export interface DrainAdmissionOptions {
  readonly clock: Clock
  /** Time from the start of a drain until the process is killed, in milliseconds; `Infinity` by default. */
  readonly graceMs?: number
  readonly durations: AnswerDurations
  readonly generationTimes: GenerationTimeEstimator
  readonly log: DecisionLog
  /** Lists the paces of the targets of a service that may receive requests; by default, they are not known. */
  readonly listPaces?: (service: string) => readonly TargetPace[]
}

/** A request that may be sent to a target. */
export interface DrainSubject {
  readonly request: RelayRequest
  readonly route: RelayRoute
  readonly service: ServiceProfile
  /** Clock reading at which the request is ended. */
  readonly deadlineAtMs: number
  /** Pace of the target that would get it; by default, that of the fastest one of the service. */
  readonly pace?: TargetPace
}

/**
 * Why a request is sent. `deadline`: its own time is over before the end. `safe`: its answer ends in time with the certainty that its kind
 * needs. `likely`: its answer likely ends in time.
 */
type Basis = 'deadline' | 'safe' | 'likely'

interface DurationEstimate {
  /** Time in which the answer ends with the certainty that its kind needs, in milliseconds; undefined when that is not known. */
  readonly safeMs: number | undefined
  /** Time that the answer likely takes, in milliseconds. */
  readonly likelyMs: number
}

/** Estimates the duration of a request at a target. */
type Estimator = (options: DrainAdmissionOptions, subject: DrainSubject, pace: TargetPace) => DurationEstimate

/** How long a request takes, and how long it may take, in milliseconds. */
interface RequestTimes extends DurationEstimate {
  readonly pace: TargetPace
  readonly timeLeftMs: number
  /** Time after which an answer that goes on then may be cut off. */
  readonly certainTimeLeftMs: number
  /** Time until the request is ended. */
  readonly remainingMs: number
}

/** Beginning of a drain in which requests are accepted that likely end in time: a share of the grace period, and a maximum in milliseconds. */
const LIKELY_SHARE = 0.3
const MAX_LIKELY_PERIOD_MS = 2500

/** Factor on the likely duration of a stream. */
const LIKELY_MARGIN = 1.3

/** Share of earlier requests that do not take longer than the likely duration. */
const LIKELY_QUANTILE = 0.9

/**
 * Share of earlier calls that must have ended in the time that is left, and the factor on their duration. An idempotent call without an
 * answer at the end can be repeated by its caller; any other one is lost to its caller.
 */
const CALL_REQUIREMENTS: Readonly<Record<CallKind, { readonly share: number, readonly margin: number }>> = {
  idempotent: { share: LIKELY_QUANTILE, margin: 1 },
  once: { share: 0.98, margin: 1.2 }
}

/** The same for streams of their maximum output, which are cut off at the end. */
const STREAM_SHARE = 0.99
const STREAM_MARGIN = 1.5

const ESTIMATORS: Readonly<Record<RouteKind, Estimator>> = {
  idempotent: estimateCall('idempotent'),
  once: estimateCall('once'),
  stream: estimateStream
}

/**
 * Decides which requests a stopping instance sends to targets. What has no complete answer when the process exits is lost or must be
 * repeated, and another instance can serve it, so only what ends in time is sent. How certain that must be depends on the kind of request.
 * At first, while most callers still use addresses that they got before, streams are sent that likely end in time.
 */
export class DrainAdmission {
  /**
   * Creates an admission whose drain has not started.
   * @param options - Options of the admission.
   */
  static create (options: DrainAdmissionOptions): DrainAdmission {
    return new DrainAdmission(options)
  }

  /** When the drain ends. */
  readonly schedule: DrainSchedule
  private hasEnded = false
  private readonly fastestPaces: FastestPaces

  /** @internal */
  private constructor (private readonly options: DrainAdmissionOptions) {
    this.schedule = DrainSchedule.create({ clock: options.clock, graceMs: this.getGraceMs() })
    const { clock, listPaces = () => [] } = options
    this.fastestPaces = FastestPaces.create({ clock, listPaces })
  }

  /**
   * Starts the drain.
   * @param signalDelayMs - Time for which the stop signal may have waited until the process handled it, in milliseconds.
   */
  start (signalDelayMs = 0): void {
    this.schedule.start(signalDelayMs)
  }

  /** Ends the drain; from then on, no request is sent. */
  end (): void {
    this.hasEnded = true
  }

  /** Returns whether the drain has started. */
  hasStarted (): boolean {
    return this.schedule.hasStarted()
  }

  /** Returns the time since the start of the drain, in milliseconds. */
  getElapsedMs (): number {
    return this.schedule.getElapsedMs()
  }

  /** Returns the time after which requests in progress are ended, in milliseconds; `Infinity` before the drain. */
  getTimeLeftMs (): number {
    return this.hasEnded ? 0 : this.schedule.getTimeLeftMs()
  }

  /**
   * Returns whether a request may be sent to a target now, and logs why.
   * @param subject - The request.
   */
  maySend (subject: DrainSubject): boolean {
    if (this.getTimeLeftMs() === Infinity) return true
    const times = this.computeTimes(subject)
    const basis = this.findBasis(times)
    this.logDecision(subject, basis, times)
    return basis !== undefined
  }

  /**
   * Returns whether a request that waits could still be sent now.
   * @param subject - The request.
   */
  canStillSend (subject: DrainSubject): boolean {
    return this.getTimeLeftMs() === Infinity || this.findBasis(this.computeTimes(subject)) !== undefined
  }

  /**
   * Returns whether the answer to a request that has arrived during the drain is held back until it is complete. A stream is sent since it
   * would end in time; where its engine falls silent or leaves, its caller then gets a final answer in place of a part of one. A stream
   * whose own time is over before the end cannot be cut off by it.
   * @param subject - The request.
   */
  shouldHoldBack (subject: DrainSubject): boolean {
    if (!this.hasStarted() || subject.route.kind !== 'stream') return false
    const { safeMs = Infinity, likelyMs, timeLeftMs, certainTimeLeftMs, remainingMs } = this.computeTimes(subject)
    if (remainingMs <= certainTimeLeftMs) return false
    return likelyMs <= subject.route.objectiveMs || (!this.isLikelyEnough() && safeMs <= timeLeftMs)
  }

  private computeTimes (subject: DrainSubject): RequestTimes {
    const pace = subject.pace ?? this.fastestPaces.get(subject.service.name)
    const estimate = ESTIMATORS[subject.route.kind](this.options, subject, pace)
    return { ...estimate, pace, timeLeftMs: this.getTimeLeftMs(), certainTimeLeftMs: this.getCertainTimeLeftMs(subject.route.kind), remainingMs: subject.deadlineAtMs - this.options.clock.nowMs() }
  }

  private findBasis ({ timeLeftMs, certainTimeLeftMs, remainingMs, safeMs, likelyMs }: RequestTimes): Basis | undefined {
    if (timeLeftMs <= 0) return undefined
    if (remainingMs <= certainTimeLeftMs) return 'deadline'
    if (safeMs !== undefined && safeMs <= timeLeftMs) return 'safe'
    return this.isLikelyEnough() && likelyMs <= timeLeftMs ? 'likely' : undefined
  }

  /** A call that is ended early gets a final answer, as it does when its time is over; a stream is cut off. */
  private getCertainTimeLeftMs (kind: RouteKind): number {
    return kind === 'stream' ? this.schedule.getCertainTimeLeftMs() : this.getTimeLeftMs()
  }

  private isLikelyEnough (): boolean {
    return this.getElapsedMs() <= Math.min(MAX_LIKELY_PERIOD_MS, this.getGraceMs() * LIKELY_SHARE)
  }

  private logDecision ({ request, route }: DrainSubject, basis: Basis | undefined, { timeLeftMs, remainingMs, safeMs, likelyMs, pace: { speed, longestGapMs } }: RequestTimes): void {
    this.options.log.recordDecision(request.id, basis === undefined ? 'not sent while stopping' : 'sent while stopping', {
      route: route.name, kind: route.kind, basis, timeLeftMs: Math.round(timeLeftMs), remainingMs: Math.round(remainingMs), safeMs: roundMs(safeMs), likelyMs: roundMs(likelyMs), speed, longestGapMs: roundMs(longestGapMs), ...request.size
    })
  }

  private getGraceMs (): number {
    return this.options.graceMs ?? Infinity
  }
}

/** Returns the estimator for calls of a kind, at any target of their service; one of which nothing is known is taken as short. */
function estimateCall (kind: CallKind): Estimator {
  const { share, margin } = CALL_REQUIREMENTS[kind]
  return ({ durations }, { service }) => {
    const callMs = durations.findCallMs(service.name, kind, share)
    const safeMs = callMs === undefined ? undefined : callMs * margin
    return { safeMs, likelyMs: safeMs ?? 0 }
  }
}

/** Estimates a stream; one whose caller states no sizes may be as long as its deadline allows, and likely is as long as others were. */
function estimateStream ({ durations, generationTimes }: DrainAdmissionOptions, { service, request: { size }, route: { objectiveMs } }: DrainSubject, { speed, longestGapMs }: TargetPace): DurationEstimate {
  if (size === undefined) return { safeMs: undefined, likelyMs: durations.findGenerationMs(service.name, LIKELY_QUANTILE) ?? Infinity }
  const tokenMs = longestGapMs === undefined ? undefined : longestGapMs / (service.engine?.tokensPerEvent ?? 1)
  const longestMs = durations.findSizedGenerationMs(service.name, { outputTokens: size.maxOutputTokens, share: STREAM_SHARE, speed, tokenMs })
  const likelyOutput = durations.estimateLikelyOutput(service.name, size)
  const firstEventMs = durations.findFirstEventMs(service.name, { share: LIKELY_QUANTILE, speed }) ?? objectiveMs
  const runMs = generationTimes.estimateDurationMs(service.name, { ...size, expectedOutputTokens: likelyOutput }, speed)
  const safeMs = longestMs === undefined ? undefined : longestMs * STREAM_MARGIN + durations.findPauseMs(service.name, STREAM_SHARE)
  return { safeMs, likelyMs: firstEventMs + runMs * LIKELY_MARGIN }
}

function roundMs (durationMs: number | undefined): number | undefined {
  return durationMs === undefined || !Number.isFinite(durationMs) ? undefined : Math.round(durationMs)
}
