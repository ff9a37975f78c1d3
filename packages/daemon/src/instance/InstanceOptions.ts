import { type Clock, type Logger, type PeerTransport, type Random } from '@fescuespoke/common'
import { type ConfigurationSource, type InstanceListSource, type OrderClient } from '@fescuespoke/configuration'
import { type Settings } from '@fescuespoke/schema'
import { type Maybe, type Result } from 'true-myth'
import { type TargetClient } from '../targets/TargetClient.js'

/** A peer transport that listens for peers. */
export interface ListeningTransport extends PeerTransport {
  /** Starts to listen and returns the address, host and port. */
  listen(): Promise<Result<string, string>>
  /** Closes every connection. */
  close(): Promise<void>
}

/** Creates the transport to other instances. */
export type TransportFactory = (findPeerAddress: (instance: string) => Maybe<string>, incarnation: string) => ListeningTransport

/** Options of an instance. Whatever is absent is made from the settings. */
export interface InstanceOptions {
  /** Checked settings. */
  readonly settings: Settings
  /** Monotonic clock. */
  readonly clock?: Clock
  /** Source of random numbers. */
  readonly random?: Random
  /** Logger; silent when absent. */
  readonly logger?: Logger
  /** Speaks to targets. */
  readonly targetClient?: TargetClient
  /** Gives orders to targets. */
  readonly orderClient?: OrderClient
  /** Reads the published records. */
  readonly configurationSource?: ConfigurationSource
  /** Reads the published list of instances and targets. */
  readonly instanceListSource?: InstanceListSource
  /** Creates the transport to other instances. */
  readonly createTransport?: TransportFactory
}
