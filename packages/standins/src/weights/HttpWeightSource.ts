import { Result } from 'true-myth'
import { request } from 'undici'
import { type WeightSource } from '../engine/EngineOptions.js'
import { type ErrorResponse } from '../http/ErrorResponse.js'

/** Options of a weight source over HTTP. */
export interface HttpWeightSourceOptions {
  /** Base URL of the weight store. */
  readonly url: string
}

const HTTP_OK = 200

/** Fetches weights from a weight store over HTTP. */
export class HttpWeightSource implements WeightSource {
  /**
   * Creates a source without connecting to the store.
   * @param options - Options of the source.
   */
  static create (options: HttpWeightSourceOptions): HttpWeightSource {
    return new HttpWeightSource(options)
  }

  /** @internal */
  private constructor (private readonly options: HttpWeightSourceOptions) {}

  /**
   * Fetches the weights of a model.
   * @param model - Name of the model.
   * @returns An empty result, or an error response; if the store cannot be reached, its status is 503.
   */
  async fetchWeights (model: string): Promise<Result<void, ErrorResponse>> {
    try {
      const { statusCode, body } = await request(`${this.options.url}/v1/weights/${encodeURIComponent(model)}`)
      await body.dump()
      return statusCode === HTTP_OK ? Result.ok(undefined) : Result.err({ status: statusCode, error: 'refused' })
    } catch (error) {
      return Result.err({ status: 503, error: String(error) })
    }
  }
}
