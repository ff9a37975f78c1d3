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
  /** The same at engines of ordinary speed. */
  private readonly ordinaryTokenMsByService = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Records a generation that ended.
   * @param service - Name of the service.
   * @param tokens - Number of tokens that it produced after its first event.
   * @param durationMs - Time from its first event to its last event, in milliseconds.
   * @param speed - Relative speed of its engine.
   */
  recordGeneration (service: string, tokens: number, durationMs: number, speed = 1): void {
    if (tokens <= 0) return
    updateAverage(this.tokenMsByService, service, durationMs / tokens)
    updateAverage(this.ordinaryTokenMsByService, service, durationMs / tokens * speed)
  }

  /**
   * Estimates the duration of a generation, in milliseconds; the sizes that callers state are often far off.
   * @param service - Name of the service.
   * @param size - Sizes that the caller stated.
   * @param speed - Relative speed of the engine; without it, any engine of the service is assumed.
   */
  estimateDurationMs (service: string, size: GenerationSize | undefined, speed?: number): number {
    if (size === undefined) return 0
    const tokenMs = speed === undefined ? getTokenMs(this.tokenMsByService, service) : getTokenMs(this.ordinaryTokenMsByService, service) / speed
    return estimateOutputTokens(size) * tokenMs
  }
}

function getTokenMs (averages: ReadonlyMap<string, number>, service: string): number {
  return averages.get(service) ?? DEFAULT_TOKEN_MS
}

function updateAverage (averages: Map<string, number>, service: string, tokenMs: number): void {
  const previousTokenMs = getTokenMs(averages, service)
  averages.set(service, previousTokenMs + LATEST_GENERATION_WEIGHT * (tokenMs - previousTokenMs))
}
