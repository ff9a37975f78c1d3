import { type Clock, parseJson, type Target } from '@fescuespoke/common'
import { createValidator, type Order, type OrderAnswer, type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { Agent, request } from 'undici'
import { readDocument, type SourceError } from '../sources/readDocument.js'
import { type OrderClient, type OrderError } from './OrderClient.js'

/** Options of an order client over HTTP. */
export interface HttpOrderClientOptions {
  readonly clock: Clock
  /** Maximum time to wait for a response, in milliseconds. */
  readonly timeoutMs?: number
}

const DEFAULT_TIMEOUT_MS = 1000

/** Maximum size of the response to an order, in bytes. */
const MAX_RESPONSE_BYTES = 65_536

const validateState = createValidator<TargetState>('platform', 'TargetState')
const validateAnswer = createValidator<OrderAnswer>('platform', 'OrderAnswer')

/** Reads the state of targets and sends them orders over HTTP. */
export class HttpOrderClient implements OrderClient {
  /**
   * Creates a client.
   * @param options - Options of the client.
   */
  static create (options: HttpOrderClientOptions): HttpOrderClient {
    return new HttpOrderClient(options)
  }

  /** Uses each connection for one request only, because an order must not wait in a connection that no longer responds. */
  private readonly agent = new Agent({ pipelining: 0 })

  /** @internal */
  private constructor (private readonly options: HttpOrderClientOptions) {}

  /**
   * Fetches the state of a target.
   * @param target - The target.
   */
  async fetchState (target: Target): Promise<Result<TargetState, SourceError>> {
    return await readDocument({
      url: `${target.url}/v1/state`,
      validate: validateState,
      timeoutMs: this.getTimeoutMs(),
      clock: this.options.clock,
      dispatcher: this.agent
    })
  }

  /**
   * Sends an order to a target without retrying it.
   * @param target - The target.
   * @param order - The order.
   */
  async sendOrder (target: Target, order: Order): Promise<Result<OrderAnswer, OrderError>> {
    const abortController = new AbortController()
    const cancelTimer = this.options.clock.startTimer(this.getTimeoutMs(), () => abortController.abort())
    try {
      const response = await request(`${target.url}/v1/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        signal: abortController.signal,
        dispatcher: this.agent
      })
      return await parseAnswer(response.body)
    } catch {
      return Result.err('unreachable')
    } finally {
      cancelTimer()
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private getTimeoutMs (): number {
    return this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  }
}

async function parseAnswer (body: AsyncIterable<Buffer> & { destroy: () => unknown }): Promise<Result<OrderAnswer, OrderError>> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > MAX_RESPONSE_BYTES) {
      body.destroy()
      return Result.err('badAnswer')
    }
    chunks.push(chunk)
  }
  return validateAnswer(parseJson(Buffer.concat(chunks).toString('utf8'))).mapErr(() => 'badAnswer' as const)
}
