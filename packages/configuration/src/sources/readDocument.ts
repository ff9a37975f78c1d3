import { BUFFER_BUDGET_CAUSE, BufferBudget, type Clock, readLimitedText, type UnreadText } from '@fescuespoke/common'
import { type Problem, formatProblem, type Validator } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type Dispatcher, request } from 'undici'

/** Why a source returned no usable response. */
export type SourceErrorKind = 'unreachable' | 'refused' | 'badAnswer'

/** Error of a failed read. */
export interface SourceError {
  readonly kind: SourceErrorKind
  readonly detail: string
}

/** Maximum size of a response body, in bytes. */
const MAX_BODY_BYTES = 67_108_864

/** Descriptions of why a body was not read. */
const UNREAD_DETAILS: Readonly<Record<UnreadText, string>> = { tooLong: `body of more than ${MAX_BODY_BYTES} bytes`, dropped: BUFFER_BUDGET_CAUSE }

/** Options of one read. */
export interface ReadOptions<T> {
  readonly url: string
  /** Validates the parsed body. */
  readonly validate: Validator<T>
  /** Maximum time to wait for the whole response, in milliseconds. */
  readonly timeoutMs: number
  readonly clock: Clock
  /** Cancels the read. */
  readonly signal?: AbortSignal
  readonly dispatcher?: Dispatcher
  /** Bounds the bytes that the process buffers; by default those of this read alone. */
  readonly bufferBudget?: BufferBudget
}

/**
 * Reads a JSON document over HTTP, with limits on its time and its size.
 * @param options - Options of the read.
 * @returns The validated document, or why it could not be read.
 */
export async function readDocument<T> (options: ReadOptions<T>): Promise<Result<T, SourceError>> {
  const abortController = new AbortController()
  const abortRead = (): void => abortController.abort()
  const cancelTimer = options.clock.startTimer(options.timeoutMs, abortRead)
  options.signal?.addEventListener('abort', abortRead)
  if (options.signal?.aborted === true) abortRead()
  try {
    const { dispatcher, bufferBudget = BufferBudget.create() } = options
    const response = await request(options.url, { signal: abortController.signal, ...(dispatcher === undefined ? {} : { dispatcher }) })
    const text = await readLimitedText(response.body, { maxBytes: MAX_BODY_BYTES, bufferBudget, owner: { kind: 'platformAnswer' } })
    if (text.isErr) return createFailure('badAnswer', UNREAD_DETAILS[text.error])
    if (response.statusCode !== 200) return createFailure('refused', `status ${response.statusCode}`)
    return parseDocument(text.value, options.validate)
  } catch (error) {
    return createFailure('unreachable', (error as Error).message)
  } finally {
    cancelTimer()
    options.signal?.removeEventListener('abort', abortRead)
  }
}

function parseDocument<T> (text: string, validate: Validator<T>): Result<T, SourceError> {
  try {
    return validate(JSON.parse(text)).mapErr(describeProblems)
  } catch (error) {
    return createFailure('badAnswer', (error as Error).message)
  }
}

function describeProblems (problems: Problem[]): SourceError {
  return { kind: 'badAnswer', detail: problems.slice(0, 3).map(formatProblem).join('; ') }
}

function createFailure<T> (kind: SourceErrorKind, detail: string): Result<T, SourceError> {
  return Result.err({ kind, detail })
}
