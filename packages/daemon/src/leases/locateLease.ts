import { type EndEvent } from '@fescuespoke/schema'
import { type LeaseId } from './LeaseId.js'
import { type Lease, type LeaseRegistry } from './LeaseRegistry.js'

/** Location of a lease and its requests. */
export type LeaseLocation =
  | { readonly kind: 'local', readonly lease: Lease }
  | { readonly kind: 'remote', readonly instance: string }
  | { readonly kind: 'unresolved', readonly end: EndEvent }

/** Options of locating a lease. */
export interface LocateLeaseOptions {
  readonly instance: string
  readonly incarnation: string
  readonly leases: LeaseRegistry
  /** Whether another instance forwarded the request, which must not be forwarded again. */
  readonly isForwarded: boolean
}

/**
 * Locates a lease. Only the incarnation that granted a lease has the state of its requests. If that incarnation cannot be
 * reached or no longer exists, the outcome of the requests is unknown.
 * @param leaseId - Fields of the lease token.
 * @param leaseToken - Token of the lease.
 * @param options - Options of locating the lease.
 */
export function locateLease (leaseId: LeaseId, leaseToken: string, options: LocateLeaseOptions): LeaseLocation {
  if (leaseId.instance !== options.instance) {
    return options.isForwarded ? createUnresolvedLocation('ownerUnreachable') : { kind: 'remote', instance: leaseId.instance }
  }
  if (leaseId.incarnation !== options.incarnation) return createUnresolvedLocation('ownerRestarted')
  const lease = options.leases.findLease(leaseToken).unwrapOr(undefined)
  return lease === undefined ? createUnresolvedLocation('leaseUnknown') : { kind: 'local', lease }
}

/**
 * Creates the end event of a request whose outcome cannot be determined.
 * @param reason - Why the outcome is unknown.
 */
export function createUnknownEnd (reason: EndEvent['reason']): EndEvent {
  return { type: 'end', outcome: 'unknown', reason }
}

function createUnresolvedLocation (reason: EndEvent['reason']): LeaseLocation {
  return { kind: 'unresolved', end: createUnknownEnd(reason) }
}
