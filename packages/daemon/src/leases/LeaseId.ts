import { Maybe } from 'true-myth'

/** What the text of a request lease names. */
export interface LeaseId {
  readonly instance: string
  readonly incarnation: string
  readonly serial: number
  /** Unguessable part. */
  readonly secret: string
}

const LEASE_TOKEN_PATTERN = /^([A-Za-z0-9._-]{1,100})~([A-Za-z0-9]{1,64})~(\d{1,15})~([A-Za-z0-9]{16,64})$/

/**
 * Formats the text of a lease.
 * @param id - What the lease names.
 */
export function formatLeaseToken (id: LeaseId): string {
  return `${id.instance}~${id.incarnation}~${id.serial}~${id.secret}`
}

/**
 * Parses the text of a lease.
 * @param token - The text.
 */
export function parseLeaseToken (token: string): Maybe<LeaseId> {
  const match = LEASE_TOKEN_PATTERN.exec(token)
  if (match === null) return Maybe.nothing()
  const [, instance = '', incarnation = '', serial = '', secret = ''] = match
  return Maybe.just({ instance, incarnation, serial: Number(serial), secret })
}

/**
 * Formats the public id of a request, which gives no right to read it.
 * @param leaseId - What the lease names.
 * @param number - The caller's number.
 */
export function formatRequestId (leaseId: LeaseId, number: number): string {
  return `${leaseId.instance}~${leaseId.incarnation}~${leaseId.serial}~${number}`
}
