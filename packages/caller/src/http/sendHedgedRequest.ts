import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type ExchangeError } from './ExchangeError.js'

/** Options of a hedged request. */
export interface HedgedRequestOptions<T> {
  readonly clock: Clock
  /** Base URLs of the instances, in order of preference. */
  readonly urls: readonly string[]
  /**
   * Hedging delay in milliseconds. If no response has arrived after it, the request is also sent to the next instance.
   */
  readonly hedgeMs: number
  /** Sends the request to one instance. The request must be safe to send to several instances. */
  readonly send: (url: string) => Promise<Result<T, ExchangeError>>
  /** Called for each instance whose request failed. */
  readonly onFailure: (url: string) => void
}

/** First successful response and the instance that returned it. */
export interface HedgedResponse<T> {
  readonly url: string
  readonly value: T
}

const NO_ADDRESS_ERROR: ExchangeError = { kind: 'notSent', detail: 'no address is available' }

/**
 * Sends a request to one instance after another and returns the first successful response. The next instance is tried
 * after a failure or when the hedging delay has passed.
 * @param options - Options of the request.
 */
export async function sendHedgedRequest<T> (options: HedgedRequestOptions<T>): Promise<Result<HedgedResponse<T>, ExchangeError>> {
  const { clock, urls, hedgeMs, send, onFailure } = options
  const remainingUrls = [...urls]
  let lastError = NO_ADDRESS_ERROR
  return await new Promise(resolve => {
    const pendingUrls = new Set<string>()
    const sendNext = (): void => {
      const url = remainingUrls.shift()
      if (url !== undefined) sendTo(url)
      else if (pendingUrls.size === 0) resolve(Result.err(lastError))
    }
    const sendTo = async (url: string): Promise<void> => {
      pendingUrls.add(url)
      let isHedged = false
      const cancelTimer = clock.startTimer(hedgeMs, () => {
        isHedged = true
        sendNext()
      })
      const response = await send(url)
      cancelTimer()
      pendingUrls.delete(url)
      if (response.isOk) {
        remainingUrls.length = 0
        resolve(Result.ok({ url, value: response.value }))
        return
      }
      lastError = response.error
      onFailure(url)
      if (!isHedged || pendingUrls.size === 0) sendNext()
    }
    sendNext()
  })
}
