import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type ExchangeError } from './ExchangeError.js'

/** Options of asking several instances. */
export interface RequestFirstOptions<T> {
  readonly clock: Clock
  /** Base URLs of the instances, best first. */
  readonly urls: readonly string[]
  /** Time in milliseconds without an answer after which the next instance is asked as well. */
  readonly hedgeMs: number
  /** Asks one instance; asking several must do no harm. */
  readonly ask: (url: string) => Promise<Result<T, ExchangeError>>
  /** Called for each instance that gives no answer. */
  readonly onFailure: (url: string) => void
}

/** The first answer and who gave it. */
export interface FirstAnswer<T> {
  readonly url: string
  readonly value: T
}

const NO_ADDRESS: ExchangeError = { kind: 'notSent', detail: 'no address is known' }

/**
 * Asks instances in turn, the next one after a failure or a short silence, and takes the first answer.
 * @param options - Whom to ask, and how.
 */
export async function requestFirst<T> (options: RequestFirstOptions<T>): Promise<Result<FirstAnswer<T>, ExchangeError>> {
  const { clock, urls, hedgeMs, ask, onFailure } = options
  const left = [...urls]
  let lastError = NO_ADDRESS
  return await new Promise(resolve => {
    const running = new Set<string>()
    const requestNext = (): void => {
      const url = left.shift()
      if (url !== undefined) requestOne(url)
      else if (running.size === 0) resolve(Result.err(lastError))
    }
    const requestOne = async (url: string): Promise<void> => {
      running.add(url)
      let isSlow = false
      const cancelTimer = clock.startTimer(hedgeMs, () => {
        isSlow = true
        requestNext()
      })
      const answer = await ask(url)
      cancelTimer()
      running.delete(url)
      if (answer.isOk) {
        left.length = 0
        resolve(Result.ok({ url, value: answer.value }))
        return
      }
      lastError = answer.error
      onFailure(url)
      if (!isSlow || running.size === 0) requestNext()
    }
    requestNext()
  })
}
