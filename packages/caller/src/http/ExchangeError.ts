import { type ErrorBody } from '@fescuespoke/schema'

/** No connection was made, so no byte of the request has left. */
export interface NotSentError {
  readonly kind: 'notSent'
  readonly detail: string
}

/** The connection was cut, fell silent, or carried something unreadable; the request may have arrived. */
export interface CutError {
  readonly kind: 'cut'
  readonly detail: string
}

/** The request was given up on this side; it may have arrived. */
export interface AbortedError {
  readonly kind: 'aborted'
  readonly detail: string
}

/** The instance answered with an HTTP error. */
export interface RefusedError {
  readonly kind: 'refused'
  readonly status: number
  readonly error: ErrorBody['error']
  readonly detail: string
}

/** Why an exchange with an instance brought no result. */
export type ExchangeError = NotSentError | CutError | AbortedError | RefusedError

/** Codes of errors that only occur before a connection stands. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'
])

/**
 * Converts an exception of the HTTP library.
 * @param cause - What was thrown.
 * @param connected - Whether a response had begun.
 */
export function convertException (cause: unknown, connected: boolean): ExchangeError {
  const { code, message } = cause as { code?: string, message?: string }
  const detail = message === undefined || message === '' ? String(code ?? cause) : message
  const isNotSent = !connected && code !== undefined && NOT_SENT_CODES.has(code)
  return { kind: isNotSent ? 'notSent' : 'cut', detail }
}
