import { type RelayConfiguration, type RelayRoute, type ServiceProfile } from '../model/RelayConfiguration.js'
import { type AnswerSink, type RelayRequest } from './RelayRequest.js'

/** One request on its way, with the configuration that it started with. */
export interface RelayContext {
  readonly request: RelayRequest
  readonly configuration: RelayConfiguration
  readonly route: RelayRoute
  readonly service: ServiceProfile
  /** Workspace of the caller; absent where requests carry no keys. */
  readonly workspace?: string
  /** Rank, 0 the highest: the workspace's, else the route's. */
  readonly priority: number
  readonly sink: AnswerSink
  /** Reading of the clock at which the request ends, whatever its state. */
  readonly deadlineAtMs: number
  /** Aborted once the caller has left or the request's time is over. */
  readonly signal: AbortSignal
}
