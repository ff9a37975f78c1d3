import { type BufferBudget, type Clock, type Logger, type MetricsRegistry, type Random } from '@fescuespoke/common'
import { type AttemptBudgetLimits } from '../budget/AttemptBudget.js'
import { type ColdBound } from '../limits/computeColdInterval.js'
import { type PublishedDecoder } from '../published/PublishedDecoder.js'
import { type PublishedSource } from '../published/PublishedItem.js'
import { type RelayTargetClient } from '../targets/RelayTargetClient.js'

/** Identity and addresses of an instance. */
export interface RelayIdentity {
  readonly availabilityZone: string
  readonly region: string
  /** Processor cores that it may use, and bandwidth of its link; absent where they are not known. */
  readonly cores?: number
  readonly linkMbps?: number
  /** Host and port on which it listens for peers; also its name among peers. */
  readonly peerAddress: string
  /** Host and port on which it accepts requests. */
  readonly callerAddress: string
  /** Peer addresses from which other instances are discovered. */
  readonly seeds: readonly string[]
  readonly fleet: string
  /** Secret shared by the instances of the fleet. */
  readonly fleetKey: string
}

/** Options of a relay instance. */
export interface RelayInstanceOptions {
  readonly identity: RelayIdentity
  readonly budget: AttemptBudgetLimits
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly graceMs: number
  /** Regions by availability zone. */
  readonly zones?: ReadonlyMap<string, string>
  /** Requests that a cold target may get beyond its rate; by default as for the platform. */
  readonly coldBound?: ColdBound
  /** Maximum time that the store waits for changes in one watch, in milliseconds; by default as for the watcher. */
  readonly watchTimeoutMs?: number
  /** Maximum time for which callers cache a list of addresses, in milliseconds. */
  readonly maxAddressTtlMs: number
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: MetricsRegistry
  readonly source: PublishedSource
  readonly decodeItem: PublishedDecoder
  readonly client: RelayTargetClient
  /** Bounds the bytes that the process buffers; by default those of the answers of targets and those of peers alone, each. */
  readonly bufferBudget?: BufferBudget
}
