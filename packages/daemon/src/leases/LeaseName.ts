import { Maybe } from 'true-myth'

/** What the text of a request lease names. */
export interface LeaseName {
  readonly instance: string
  readonly incarnation: string
  readonly serial: number
  /** Unguessable part. */
  readonly secret: string
}

const LEASE_PATTERN = /^([A-Za-z0-9._-]{1,100})~([A-Za-z0-9]{1,64})~(\d{1,15})~([A-Za-z0-9]{16,64})$/

/**
 * Formats the text of a lease.
 * @param name - What the lease names.
 */
export function formatLease (name: LeaseName): string {
  return `${name.instance}~${name.incarnation}~${name.serial}~${name.secret}`
}

/**
 * Parses the text of a lease.
 * @param text - The text.
 */
export function parseLease (text: string): Maybe<LeaseName> {
  const match = LEASE_PATTERN.exec(text)
  if (match === null) return Maybe.nothing()
  const [, instance = '', incarnation = '', serial = '', secret = ''] = match
  return Maybe.just({ instance, incarnation, serial: Number(serial), secret })
}

/**
 * Formats the public id of a request, which gives no right to read it.
 * @param name - What the lease names.
 * @param number - The caller's number.
 */
export function formatRequestId (name: LeaseName, number: number): string {
  return `${name.instance}~${name.incarnation}~${name.serial}~${number}`
}
