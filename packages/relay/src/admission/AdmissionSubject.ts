import { type QueuedItem } from '@fescuespoke/scheduling'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { estimateCost, estimateTokens } from '../placement/estimateTokens.js'
import { type RelayContext } from '../requests/RelayContext.js'
import { type AllowedRegions } from '../places/RegionMap.js'
import { formatOriginKey, type StreamOrigin } from '../versions/StreamOrigin.js'

/** What admission has to know about a request. */
export interface AdmissionSubject {
  readonly requirements: { readonly service: ServiceProfile, readonly origin?: StreamOrigin, readonly allowedRegions?: AllowedRegions, readonly tokens: number }
  /** Priority; 0 is the highest. */
  readonly priority: number
  /** Workspace of the caller; all callers without one share a workspace. */
  readonly workspace?: string
  /** Expected work in tokens; by default the memory that the request needs. */
  readonly cost?: number
  /** Clock reading at which the request arrived. */
  readonly arrivedAtMs?: number
  /** Id of the request, for the log. */
  readonly requestId?: string
  /** Signal of the request. It is the same in all calls about one request, by which they are recognized. */
  readonly signal: AbortSignal
}

/** Position of a request in the queue and the targets for which it competes. */
export interface AdmissionItem extends QueuedItem {
  readonly priority: number
  readonly rank: number
  /** Key of the set of targets that the request competes for. */
  readonly pool: string
  readonly service: string
}

/**
 * Creates the description of a request for admission.
 * @param context - The request.
 */
export function createAdmissionSubject ({ service, origin, allowedRegions, request, workspace, priority, signal }: RelayContext): AdmissionSubject {
  const requirements = { service, origin, allowedRegions, tokens: estimateTokens(request.size, 0) }
  return { requirements, priority, workspace, cost: estimateCost(request.size), arrivedAtMs: request.receivedAtMs, requestId: request.id, signal }
}

/**
 * Formats the key of the requests of one priority.
 * @param scope - Name of the pool or service.
 * @param priority - The priority.
 */
export function formatPriorityKey (scope: string, priority: number): string {
  return `${priority}\u0000${scope}`
}

/**
 * Formats the key of the set of targets that a request competes for: those of its service in its regions or, if it continues a stream, of the same version.
 * @param subject - The request.
 */
export function formatPool ({ requirements: { service, origin, allowedRegions } }: Pick<AdmissionSubject, 'requirements'>): string {
  return [service.name, origin === undefined ? '' : formatOriginKey(origin), ...[...allowedRegions ?? []].sort()].join('\u0000')
}
