import { type MetricsRegistry } from '@fescuespoke/common'
import { EndedRequests } from './EndedRequests.js'
import { isCut, type RelayOutcome } from './RelayOutcome.js'

/** What became of a call for a reservation at an engine, or that an unused one was dropped. */
export type HoldResult = 'taken' | 'refused' | 'failed' | 'dropped'

/** What became of a request that asked for an engine: placed at once or after a wait, refused at once or after a wait, or recognized as that of a returning caller. */
export type AdmissionResult = 'placed' | 'placedAfterWait' | 'refusedAtOnce' | 'refusedAfterWait' | 'returned'

/** Counts the outcomes of requests and measures their latency. */
export class RelayMetrics {
  /**
   * Creates the metrics.
   * @param registry - Registry that holds the metrics.
   */
  static create (registry: MetricsRegistry): RelayMetrics {
    return new RelayMetrics(registry)
  }

  /** Requests that end while this instance stops. */
  readonly endedRequests = EndedRequests.create()

  /** @internal */
  private constructor (private readonly registry: MetricsRegistry) {}

  /**
   * Counts a request that has ended.
   * @param route - Name of the route.
   * @param outcome - Outcome of the request.
   * @param request - Id of the request.
   */
  countOutcome (route: string, outcome: RelayOutcome, request: string): void {
    this.registry.getCounter('relayedRequests', { route, outcome }).add()
    if (isCut(outcome)) this.registry.getCounter('cutRequests', { outcome }).add()
    this.endedRequests.recordEnd(outcome, request)
  }

  /**
   * Counts an additional attempt.
   * @param service - Name of the service.
   * @param cause - Cause of the attempt.
   */
  countRepeat (service: string, cause: string): void {
    this.registry.getCounter('relayedRepeats', { service, cause }).add()
  }

  /**
   * Counts a finished move of a run.
   * @param result - Result of the move.
   */
  countMove (result: string): void {
    this.registry.getCounter('movedRuns', { result }).add()
  }

  /**
   * Counts a reservation at an engine.
   * @param service - Name of the service.
   * @param result - What became of it.
   */
  countHold (service: string, result: HoldResult): void {
    this.registry.getCounter('engineReservations', { service, result }).add()
  }

  /**
   * Records the time from the arrival of a request to the start of its answer.
   * @param route - Name of the route.
   * @param durationMs - Duration in milliseconds.
   */
  recordAnswerTime (route: string, durationMs: number): void {
    this.registry.getHistogram('relayedAnswer', { route }).record(durationMs)
  }

  /**
   * Counts what became of a request that asked for an engine.
   * @param service - Name of the service.
   * @param result - What became of it.
   */
  countAdmission (service: string, result: AdmissionResult): void {
    this.registry.getCounter('admissions', { service, result }).add()
  }

  /**
   * Counts a retry time that was computed from the rate at which capacity opens.
   * @param service - Name of the service.
   * @param kind - Whether it is the time of the slot, an earlier one, or too late for the caller.
   */
  countScheduledRetry (service: string, kind: string): void {
    this.registry.getCounter('scheduledRetries', { service, kind }).add()
  }

  /** Counts parts of prompts that this instance began to blame for crashes of engines. */
  countBlamedPart (): void {
    this.registry.getCounter('blamedParts', {}).add()
  }

  /**
   * Counts a target whose speed was judged anew.
   * @param kind - What it counts as now.
   */
  countSpeedChange (kind: 'slower' | 'faster' | 'ordinary'): void {
    this.registry.getCounter('judgedSpeeds', { kind }).add()
  }

  /** Returns the number of log lines that were dropped. */
  getDroppedLines (): number {
    return this.registry.getCounter('droppedLines', {}).getReading().value ?? 0
  }

  /** Counts a dropped log line. */
  countDroppedLine (): void {
    this.registry.getCounter('droppedLines', {}).add()
  }
}
