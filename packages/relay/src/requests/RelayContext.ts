import { type RelayConfiguration, type RelayRoute, type ServiceProfile } from '../model/RelayConfiguration.js'
import { type AllowedRegions } from '../places/RegionMap.js'
import { type StreamOrigin } from '../versions/StreamOrigin.js'
import { type AnswerSink } from './AnswerSink.js'
import { type RelayRequest } from './RelayRequest.js'

/** Reason with which the requests in progress are aborted when the process stops. */
export const STOP_REASON = 'stopping'

/** Reason with which a request is aborted when the process buffers too much, and most for this request. */
export const EVICTION_REASON = 'evicted'

/** One request in progress and the configuration with which it started. */
export interface RelayContext {
  readonly request: RelayRequest
  readonly configuration: RelayConfiguration
  readonly route: RelayRoute
  readonly service: ServiceProfile
  /** Origin of the stream that the caller resumes; absent for a new stream. */
  readonly origin?: StreamOrigin
  /** Regions in which the request may be served, by its route and its workspace; absent when all are allowed. */
  readonly allowedRegions?: AllowedRegions
  /** Workspace of the caller; absent where requests carry no keys. */
  readonly workspace?: string
  /** Priority, 0 the highest: that of the workspace if it has one, otherwise that of the route. */
  readonly priority: number
  readonly sink: AnswerSink
  /** Clock reading at which the request is ended. */
  readonly deadlineAtMs: number
  /** Aborted when the caller has left or the deadline is reached, with `STOP_REASON` when the process stops, and with `EVICTION_REASON` when it buffers too much. */
  readonly signal: AbortSignal
}
