import { type GenerationSize } from '../requests/RelayRequest.js'
import { estimateOutputTokens } from './estimateTokens.js'

/** Duration of a token that is assumed of a service until one of its generations has ended, in milliseconds. */
const DEFAULT_TOKEN_MS = 10

/** Weight of the newest generation in the pace of its service. */
const LATEST_GENERATION_WEIGHT = 0.1

/** How long the generations of each service take for a token, learned from those that ended. */
export class GenerationTimeEstimator {
  /** Creates a pace that has seen nothing. */
  static create (): GenerationTimeEstimator {
    return new GenerationTimeEstimator()
  }

  private readonly tokenMsByService = new Map<string, number>()

  /** @internal */
  private constructor () {}

  /**
   * Observes a generation that ended.
   * @param service - Name of the service.
   * @param tokens - Tokens that it produced after its first event.
   * @param durationMs - Time from its first event to its last one, in milliseconds.
   */
  recordGeneration (service: string, tokens: number, durationMs: number): void {
    if (tokens <= 0) return
    const previousTokenMs = this.getTokenMs(service)
    this.tokenMsByService.set(service, previousTokenMs + LATEST_GENERATION_WEIGHT * (durationMs / tokens - previousTokenMs))
  }

  /**
   * Estimates how long a generation takes, in milliseconds; the sizes that callers state are often far off.
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
