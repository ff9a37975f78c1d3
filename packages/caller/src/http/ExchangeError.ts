import { type ErrorBody } from '@fescuespoke/schema'

/** No connection was made, so no byte of the request has left. */
export interface NotSentError {
  readonly kind: 'notSent'
  readonly detail: string
  /** Whether the connection was refused, so that no process listens there any more. */
  readonly isConnectionRefused?: boolean
}

/** The connection was cut, fell silent, or carried something unreadable; the request may have arrived. */
export interface InterruptedError {
  readonly kind: 'interrupted'
  readonly detail: string
}

/** The request was given up on this side. */
export interface AbortedError {
  readonly kind: 'aborted'
  /** Whether a byte of it may have arrived. */
  readonly mayHaveArrived: boolean
  readonly detail: string
}

/** The instance answered with an HTTP error. */
export interface HttpError {
  readonly kind: 'httpError'
  readonly status: number
  readonly error: ErrorBody['error']
  readonly detail: string
}

/** Why an exchange with an instance brought no result. */
export type ExchangeError = NotSentError | InterruptedError | AbortedError | HttpError

/**
 * Checks whether a connection was refused.
 * @param cause - What was thrown.
 */
export function isConnectionRefusedError (cause: unknown): boolean {
  return (cause as { code?: string }).code === 'ECONNREFUSED'
}

/**
 * Describes an exception of the HTTP library.
 * @param cause - What was thrown.
 */
export function describeException (cause: unknown): string {
  const { code, message } = cause as { code?: string, message?: string }
  return message === undefined || message === '' ? String(code ?? cause) : message
}
