import { type GenerationSize } from '../requests/RelayRequest.js'
import { estimateOutputTokens } from './estimateTokens.js'

/** Time per output token that is assumed for a service until one of its generations has ended, in milliseconds. */
const DEFAULT_TOKEN_MS = 10

/** Weight of the latest generation in the moving average of its service. */
const LATEST_GENERATION_WEIGHT = 0.1

/** Estimates the duration of generations from the time per output token of earlier generations of the same service. */
export class GenerationTimeEstimator {
  /** Creates an estimator without recorded generations. */
  static create (): GenerationTimeEstimator {
    return new GenerationTimeEstimator()
  }

  private readonly tokenMsByService = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Records a generation that ended.
   * @param service - Name of the service.
   * @param tokens - Number of tokens that it produced after its first event.
   * @param durationMs - Time from its first event to its last event, in milliseconds.
   */
  recordGeneration (service: string, tokens: number, durationMs: number): void {
    if (tokens <= 0) return
    const previousTokenMs = this.getTokenMs(service)
    this.tokenMsByService.set(service, previousTokenMs + LATEST_GENERATION_WEIGHT * (durationMs / tokens - previousTokenMs))
  }

  /**
   * Estimates the duration of a generation, in milliseconds; the sizes that callers state are often far off.
   * @param service - Name of the service.
   * @param size - Sizes that the caller stated.
   */
  estimateDurationMs (service: string, size: GenerationSize | undefined): number {
    return size === undefined ? 0 : estimateOutputTokens(size) * this.getTokenMs(service)
  }

  private getTokenMs (service: string): number {
    return this.tokenMsByService.get(service) ?? DEFAULT_TOKEN_MS
  }
}
