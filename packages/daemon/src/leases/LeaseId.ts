import { Maybe } from 'true-myth'

/** Fields encoded in a lease token. */
export interface LeaseId {
  readonly instance: string
  readonly incarnation: string
  readonly serial: number
  /** Random secret that authorizes access to the lease's requests. */
  readonly secret: string
}

const LEASE_TOKEN_PATTERN = /^([A-Za-z0-9._-]{1,100})~([A-Za-z0-9]{1,64})~(\d{1,15})~([A-Za-z0-9]{16,64})$/

/**
 * Formats a lease token.
 * @param id - Fields of the lease.
 */
export function formatLeaseToken (id: LeaseId): string {
  return `${id.instance}~${id.incarnation}~${id.serial}~${id.secret}`
}

/**
 * Parses a lease token.
 * @param token - The token.
 * @returns The fields of the lease, or `Maybe.nothing()` when the token is malformed.
 */
export function parseLeaseToken (token: string): Maybe<LeaseId> {
  const match = LEASE_TOKEN_PATTERN.exec(token)
  if (match === null) return Maybe.nothing()
  const [, instance = '', incarnation = '', serial = '', secret = ''] = match
  return Maybe.just({ instance, incarnation, serial: Number(serial), secret })
}

/**
 * Formats the public id of a request. It omits the secret, so it does not authorize access to the request.
 * @param leaseId - Fields of the lease.
 * @param number - Request number chosen by the caller.
 */
export function formatRequestId (leaseId: LeaseId, number: number): string {
  return `${leaseId.instance}~${leaseId.incarnation}~${leaseId.serial}~${number}`
}
