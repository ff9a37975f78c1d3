import { type MetricsRegistry } from '@fescuespoke/common'
import { type RefusalReason } from '../requests/RelayRequest.js'

/** How a request ended, for counters. */
export type RelayOutcome = 'answered' | 'targetFailed' | 'brokenOff' | 'callerLeft' | RefusalReason

/** Counts how requests end and measures how long they take. */
export class RelayMetrics {
  /**
   * Creates the metrics.
   * @param registry - Registry that they are kept in.
   */
  static create (registry: MetricsRegistry): RelayMetrics {
    return new RelayMetrics(registry)
  }

  /** @internal */
  private constructor (private readonly registry: MetricsRegistry) {}

  /**
   * Counts the end of a request.
   * @param route - Name of the route.
   * @param outcome - How it ended.
   */
  countOutcome (route: string, outcome: RelayOutcome): void {
    this.registry.getCounter('relayedRequests', { route, outcome }).add()
  }

  /**
   * Counts an attempt beyond the first.
   * @param service - Name of the service.
   * @param cause - Why it was made.
   */
  countRepeat (service: string, cause: string): void {
    this.registry.getCounter('relayedRepeats', { service, cause }).add()
  }

  /**
   * Counts the end of a move of a run.
   * @param result - How it ended.
   */
  countMove (result: string): void {
    this.registry.getCounter('movedRuns', { result }).add()
  }

  /**
   * Observes the time from a request's arrival to the beginning of its answer.
   * @param route - Name of the route.
   * @param durationMs - Duration in milliseconds.
   */
  recordAnswerTime (route: string, durationMs: number): void {
    this.registry.getHistogram('relayedAnswer', { route }).record(durationMs)
  }

  /** Counts a log line that was left out. */
  countDroppedLine (): void {
    this.registry.getCounter('droppedLines', {}).add()
  }
}
