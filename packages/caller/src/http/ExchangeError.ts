import { type ErrorBody } from '@fescuespoke/schema'

/** No connection was established, so no byte of the request was sent. */
export interface NotSentError {
  readonly kind: 'notSent'
  readonly detail: string
  /** Whether the connection was refused, which means that no process listens at the address any longer. */
  readonly isConnectionRefused?: boolean
}

/**
 * The connection was closed, timed out, or carried a malformed response. The instance may have received the request.
 */
export interface InterruptedError {
  readonly kind: 'interrupted'
  readonly detail: string
}

/** The request was aborted by the application or at its deadline. */
export interface AbortedError {
  readonly kind: 'aborted'
  /** Whether a byte of the request may have arrived at the instance. */
  readonly mayHaveArrived: boolean
  readonly detail: string
}

/** The instance responded with an HTTP error. */
export interface HttpError {
  readonly kind: 'httpError'
  readonly status: number
  readonly error: ErrorBody['error']
  readonly detail: string
}

/** Reason why an HTTP exchange with an instance failed. */
export type ExchangeError = NotSentError | InterruptedError | AbortedError | HttpError

/**
 * Returns whether an exception means that the connection was refused.
 * @param cause - Exception thrown by the HTTP library.
 */
export function isConnectionRefusedError (cause: unknown): boolean {
  return (cause as { code?: string }).code === 'ECONNREFUSED'
}

/**
 * Returns a description of an exception.
 * @param cause - Exception thrown by the HTTP library.
 */
export function describeException (cause: unknown): string {
  const { code, message } = cause as { code?: string, message?: string }
  return message === undefined || message === '' ? String(code ?? cause) : message
}
