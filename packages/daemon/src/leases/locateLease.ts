import { type EndEvent } from '@fescuespoke/schema'
import { type LeaseName } from './LeaseName.js'
import { type Lease, type LeaseRegistry } from './LeaseRegistry.js'

/** Where the requests of a lease are. */
export type LeaseLocation =
  | { readonly at: 'here', readonly lease: Lease }
  | { readonly at: 'elsewhere', readonly instance: string }
  | { readonly at: 'nowhere', readonly end: EndEvent }

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
 * @param name - What the lease names.
 * @param text - Text of the lease.
 * @param options - What locating works with.
 */
export function locateLease (name: LeaseName, text: string, options: LocateLeaseOptions): LeaseLocation {
  if (name.instance !== options.instance) {
    return options.isForwarded ? describeNowhere('ownerUnreachable') : { at: 'elsewhere', instance: name.instance }
  }
  if (name.incarnation !== options.incarnation) return describeNowhere('ownerRestarted')
  const lease = options.leases.findLease(text).unwrapOr(undefined)
  return lease === undefined ? describeNowhere('leaseUnknown') : { at: 'here', lease }
}

/**
 * Describes a request that nobody within reach can answer for.
 * @param reason - Why not.
 */
export function describeUnknown (reason: EndEvent['reason']): EndEvent {
  return { type: 'end', outcome: 'unknown', reason }
}

function describeNowhere (reason: EndEvent['reason']): LeaseLocation {
  return { at: 'nowhere', end: describeUnknown(reason) }
}
