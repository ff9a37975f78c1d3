import { type Clock, type Logger, type PeerTransport, type Random } from '@fescuespoke/common'
import { type ConfigurationSource, type InstanceListSource, type OrderClient } from '@fescuespoke/configuration'
import { type Settings } from '@fescuespoke/schema'
import { type Maybe, type Result } from 'true-myth'
import { type TargetClient } from '../targets/TargetClient.js'

/** A peer transport that accepts connections from peers. */
export interface ListeningTransport extends PeerTransport {
  /** Starts listening and returns the host and port, or the reason why it cannot listen. */
  listen(): Promise<Result<string, string>>
  /** Closes every connection. */
  close(): Promise<void>
}

/** Creates the transport to other instances. */
export type TransportFactory = (findPeerAddress: (instance: string) => Maybe<string>, incarnation: string) => ListeningTransport

/** Options of an instance. Absent options are created from the settings. */
export interface InstanceOptions {
  /** Validated settings. */
  readonly settings: Settings
  /** Monotonic clock; defaults to the system clock. */
  readonly clock?: Clock
  /** Source of random numbers; defaults to the system's. */
  readonly random?: Random
  /** Logger; silent when absent. */
  readonly logger?: Logger
  /** Client for calls, generations and state reports of targets. */
  readonly targetClient?: TargetClient
  /** Client that sends orders to targets. */
  readonly orderClient?: OrderClient
  /** Source of the published records. */
  readonly configurationSource?: ConfigurationSource
  /** Source of the published list of instances and targets. */
  readonly instanceListSource?: InstanceListSource
  /** Creates the transport to other instances. */
  readonly createTransport?: TransportFactory
}
