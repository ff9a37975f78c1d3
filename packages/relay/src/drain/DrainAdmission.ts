import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayRoute, type ServiceProfile } from '../model/RelayConfiguration.js'
import { type GenerationTimeEstimator } from '../placement/GenerationTimeEstimator.js'
import { type RelayRequest } from '../requests/RelayRequest.js'
import { type AnswerDurations } from './AnswerDurations.js'
import { DrainSchedule } from './DrainSchedule.js'

/** Options of a drain admission. */
export interface DrainAdmissionOptions {
  readonly clock: Clock
  /** Time from the start of a drain until the process is killed, in milliseconds; `Infinity` by default. */
  readonly graceMs?: number
  readonly durations: AnswerDurations
  readonly generationTimes: GenerationTimeEstimator
  readonly log: DecisionLog
}

/** A request that may be sent to a target. */
export interface DrainSubject {
  readonly request: RelayRequest
  readonly route: RelayRoute
  readonly service: ServiceProfile
  /** Clock reading at which the request is ended. */
  readonly deadlineAtMs: number
}

/**
 * Why a request ends in time. `deadline`: its own time is over before. `longest`: even the longest answer would be complete. `likely`: an
 * answer of the likely length would be complete.
 */
type Basis = 'deadline' | 'longest' | 'likely'

interface DurationEstimate {
  /** Time that the answer takes at most, in milliseconds; undefined when that is not known. */
  readonly longestMs: number | undefined
  /** Time that the answer likely takes, in milliseconds. */
  readonly likelyMs: number
}

/** How long a request takes, and how long it may take, in milliseconds. */
interface RequestTimes extends DurationEstimate {
  readonly timeLeftMs: number
  /** Time until the request is ended. */
  readonly remainingMs: number
}

/** Beginning of a drain in which requests are accepted that likely end in time: a share of the grace period, and a maximum in milliseconds. */
const LIKELY_SHARE = 0.3
const MAX_LIKELY_PERIOD_MS = 2500

/** Factor on the likely duration of a stream. */
const LIKELY_MARGIN = 1.3

/**
 * Decides which requests a stopping instance sends to targets. An answer that is not complete when the process exits is cut off, and
 * another instance can serve the request, so only those are sent whose answers end in time. At first, while callers still use addresses that
 * they got before, what likely ends in time is sent; later only what certainly does.
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

  /** @internal */
  private constructor (private readonly options: DrainAdmissionOptions) {
    this.schedule = DrainSchedule.create({ clock: options.clock, graceMs: this.getGraceMs() })
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

  private computeTimes (subject: DrainSubject): RequestTimes {
    const estimate = subject.route.kind === 'stream' ? this.estimateStream(subject) : this.estimateCall(subject)
    return { ...estimate, timeLeftMs: this.getTimeLeftMs(), remainingMs: subject.deadlineAtMs - this.options.clock.nowMs() }
  }

  private findBasis ({ timeLeftMs, remainingMs, longestMs, likelyMs }: RequestTimes): Basis | undefined {
    if (timeLeftMs <= 0) return undefined
    if (remainingMs <= timeLeftMs) return 'deadline'
    if (longestMs !== undefined && longestMs <= timeLeftMs) return 'longest'
    return this.isLikelyEnough() && likelyMs <= timeLeftMs ? 'likely' : undefined
  }

  private isLikelyEnough (): boolean {
    return this.getElapsedMs() <= Math.min(MAX_LIKELY_PERIOD_MS, this.getGraceMs() * LIKELY_SHARE)
  }

  private estimateCall ({ service }: DrainSubject): DurationEstimate {
    const { durations } = this.options
    const longestMs = durations.findLongestCallMs(service.name)
    return { longestMs, likelyMs: durations.findLikelyCallMs(service.name) ?? longestMs ?? 0 }
  }

  /** A stream whose caller states no sizes may be as long as its deadline allows, and likely is as long as others were. */
  private estimateStream ({ service, request: { size }, route: { objectiveMs } }: DrainSubject): DurationEstimate {
    const { durations, generationTimes } = this.options
    if (size === undefined) return { longestMs: undefined, likelyMs: durations.findLikelyGenerationMs(service.name) ?? Infinity }
    const likelyOutput = durations.estimateLikelyOutput(service.name, size)
    const runMs = generationTimes.estimateDurationMs(service.name, { ...size, expectedOutputTokens: likelyOutput })
    return { longestMs: durations.findLongestGenerationMs(service.name, size.maxOutputTokens), likelyMs: (durations.findLongestFirstEventMs(service.name) ?? objectiveMs) + runMs * LIKELY_MARGIN }
  }

  private logDecision ({ request, route }: DrainSubject, basis: Basis | undefined, { timeLeftMs, remainingMs, longestMs, likelyMs }: RequestTimes): void {
    this.options.log.recordDecision(request.id, basis === undefined ? 'not sent while stopping' : 'sent while stopping', {
      route: route.name, basis, timeLeftMs: Math.round(timeLeftMs), remainingMs: Math.round(remainingMs), longestMs: longestMs === undefined ? undefined : Math.round(longestMs), likelyMs: Number.isFinite(likelyMs) ? Math.round(likelyMs) : undefined, ...request.size
    })
  }

  private getGraceMs (): number {
    return this.options.graceMs ?? Infinity
  }
}
