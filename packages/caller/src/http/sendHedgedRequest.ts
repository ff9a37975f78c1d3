import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type ExchangeError } from './ExchangeError.js'

/** Options of asking several instances. */
export interface HedgedRequestOptions<T> {
  readonly clock: Clock
  /** Base URLs of the instances, best first. */
  readonly urls: readonly string[]
  /** Time in milliseconds without an answer after which the next instance is asked as well. */
  readonly hedgeMs: number
  /** Asks one instance; asking several must do no harm. */
  readonly send: (url: string) => Promise<Result<T, ExchangeError>>
  /** Called for each instance that gives no answer. */
  readonly onFailure: (url: string) => void
}

/** The first answer and who gave it. */
export interface HedgedResponse<T> {
  readonly url: string
  readonly value: T
}

const NO_ADDRESS_ERROR: ExchangeError = { kind: 'notSent', detail: 'no address is known' }

/**
 * Asks instances in turn, the next one after a failure or a short silence, and takes the first answer.
 * @param options - Whom to ask, and how.
 */
export async function sendHedgedRequest<T> (options: HedgedRequestOptions<T>): Promise<Result<HedgedResponse<T>, ExchangeError>> {
  const { clock, urls, hedgeMs, send: ask, onFailure } = options
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
      const response = await ask(url)
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
