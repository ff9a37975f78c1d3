import { type Clock, type MetricsRegistry } from '@fescuespoke/common'
import { type RequestObserver } from '../dispatch/RequestRunner.js'
import { type RequestEntry } from '../requests/RequestEntry.js'

/** Number of token intervals without a token after which an answer counts as stalled. */
const STALL_INTERVALS = 2

/** Options of request metrics. */
export interface RequestMetricsOptions {
  readonly metrics: MetricsRegistry
  readonly clock: Clock
  /** Expected time between tokens in milliseconds. */
  readonly tokenIntervalMs: number
}

/** Records the lifecycle events of requests as metrics. */
export class RequestMetrics implements RequestObserver {
  /**
   * Creates the observer.
   * @param options - Options of the observer.
   */
  static create (options: RequestMetricsOptions): RequestMetrics {
    return new RequestMetrics(options)
  }

  /** Total stall time of each answer in progress, in milliseconds. */
  private readonly stallMsByEntry = new Map<RequestEntry, number>()

  /** @internal */
  private constructor (private readonly options: RequestMetricsOptions) {}

  /** @inheritdoc */
  observePlacement (entry: RequestEntry): void {
    this.options.metrics.getHistogram('queueWait', getLabels(entry)).record(this.getAgeMs(entry))
  }

  /** @inheritdoc */
  observeTokens (entry: RequestEntry, tokens: number, gapMs: number, isFirst: boolean): void {
    const { metrics, tokenIntervalMs } = this.options
    metrics.getCounter('tokens', getLabels(entry)).add(tokens)
    if (isFirst) {
      metrics.getHistogram('firstToken', getLabels(entry)).record(gapMs)
      this.stallMsByEntry.set(entry, 0)
      return
    }
    metrics.getHistogram('tokenInterval', getLabels(entry)).record(gapMs)
    const stallMs = Math.max(0, gapMs - STALL_INTERVALS * tokenIntervalMs)
    this.stallMsByEntry.set(entry, (this.stallMsByEntry.get(entry) ?? 0) + stallMs)
  }

  /** @inheritdoc */
  observePreemption (entry: RequestEntry): void {
    this.options.metrics.getCounter('preemptions', getLabels(entry)).add()
  }

  /** @inheritdoc */
  observeRestart (entry: RequestEntry): void {
    this.options.metrics.getCounter('restarts', getLabels(entry)).add()
  }

  /** @inheritdoc */
  observeEnd (entry: RequestEntry): void {
    const { metrics } = this.options
    const outcome = entry.getEnd().mapOr('unknown', end => end.outcome)
    const { workspace } = entry.options
    metrics.getCounter('outcomes', { ...getLabels(entry), workspace, outcome }).add()
    const stallMs = this.stallMsByEntry.get(entry)
    if (stallMs !== undefined) metrics.getHistogram('stallTime', getLabels(entry)).record(stallMs)
    if (entry.getReply().isJust) metrics.getHistogram('firstToken', getLabels(entry)).record(this.getAgeMs(entry))
    this.stallMsByEntry.delete(entry)
  }

  private getAgeMs (entry: RequestEntry): number {
    return this.options.clock.nowMs() - entry.getArrivalMs()
  }
}

function getLabels (entry: RequestEntry): { readonly service: string } {
  return { service: entry.options.service.name }
}
