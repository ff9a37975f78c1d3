import { type EndEvent } from '@fescuespoke/schema'
import { type LeaseId } from './LeaseId.js'
import { type Lease, type LeaseRegistry } from './LeaseRegistry.js'

/** Where the requests of a lease are. */
export type LeaseLocation =
  | { readonly kind: 'here', readonly lease: Lease }
  | { readonly kind: 'elsewhere', readonly instance: string }
  | { readonly kind: 'nowhere', readonly end: EndEvent }

/** What locating a lease works with. */
export interface LocateLeaseOptions {
  readonly instance: string
  readonly incarnation: string
  readonly leases: LeaseRegistry
  /** Whether another instance forwarded the request; it is not forwarded again. */
  readonly isForwarded: boolean
}

/**
 * Locates a lease. Only the incarnation that granted it may answer for its requests; for any other the outcome is unknown.
 * @param leaseId - What the lease names.
 * @param leaseToken - Text of the lease.
 * @param options - What locating works with.
 */
export function locateLease (leaseId: LeaseId, leaseToken: string, options: LocateLeaseOptions): LeaseLocation {
  if (leaseId.instance !== options.instance) {
    return options.isForwarded ? createUnresolvedLocation('ownerUnreachable') : { kind: 'elsewhere', instance: leaseId.instance }
  }
  if (leaseId.incarnation !== options.incarnation) return createUnresolvedLocation('ownerRestarted')
  const lease = options.leases.findLease(leaseToken).unwrapOr(undefined)
  return lease === undefined ? createUnresolvedLocation('leaseUnknown') : { kind: 'here', lease }
}

/**
 * Describes a request that nobody within reach can answer for.
 * @param reason - Why not.
 */
export function createUnknownEnd (reason: EndEvent['reason']): EndEvent {
  return { type: 'end', outcome: 'unknown', reason }
}

function createUnresolvedLocation (reason: EndEvent['reason']): LeaseLocation {
  return { kind: 'nowhere', end: createUnknownEnd(reason) }
}
