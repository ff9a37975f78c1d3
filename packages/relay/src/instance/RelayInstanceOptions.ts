import { type Clock, type Logger, type MetricsRegistry, type Random } from '@fescuespoke/common'
import { type AttemptBudgetLimits } from '../budget/AttemptBudget.js'
import { type PublishedDecoder } from '../published/PublishedDecoder.js'
import { type PublishedSource } from '../published/PublishedItem.js'
import { type RelayTargetClient } from '../targets/RelayTargetClient.js'

/** Who an instance is and where it is found. */
export interface RelayIdentity {
  readonly availabilityZone: string
  readonly region: string
  /** Host and port on which it listens for peers; its name towards them. */
  readonly peerAddress: string
  /** Host and port on which it takes requests. */
  readonly callerAddress: string
  /** Peer addresses at which others are looked for first. */
  readonly seeds: readonly string[]
  readonly fleet: string
  /** Secret of the fleet. */
  readonly fleetKey: string
}

/** Options of a relay instance. */
export interface RelayInstanceOptions {
  readonly identity: RelayIdentity
  readonly budget: AttemptBudgetLimits
  /** Longest time in milliseconds from the order to stop until the process is killed. */
  readonly graceMs: number
  /** Longest time in milliseconds that callers keep an address answer. */
  readonly maxAddressMs: number
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: MetricsRegistry
  readonly source: PublishedSource
  readonly decodeItem: PublishedDecoder
  readonly client: RelayTargetClient
}
