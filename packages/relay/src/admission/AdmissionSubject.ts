import { type QueuedItem } from '@fescuespoke/scheduling'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { estimateCost, estimateTokens } from '../placement/estimateTokens.js'
import { type RelayContext } from '../requests/RelayContext.js'
import { formatOriginKey, type StreamOrigin } from '../versions/StreamOrigin.js'

/** What admission has to know about a request. */
export interface AdmissionSubject {
  readonly requirements: { readonly service: ServiceProfile, readonly origin?: StreamOrigin, readonly tokens: number }
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
export function createAdmissionSubject ({ service, origin, request, workspace, priority, signal }: RelayContext): AdmissionSubject {
  const requirements = { service, origin, tokens: estimateTokens(request.size, 0) }
  return { requirements, priority, workspace, cost: estimateCost(request.size), arrivedAtMs: request.receivedAtMs, requestId: request.id, signal }
}

/**
 * Formats the key of the set of targets that a request competes for: those of its service or, if it continues a stream, of the same version.
 * @param subject - The request.
 */
export function formatPool ({ requirements: { service, origin } }: Pick<AdmissionSubject, 'requirements'>): string {
  return origin === undefined ? service.name : `${service.name}\u0000${formatOriginKey(origin)}`
}
