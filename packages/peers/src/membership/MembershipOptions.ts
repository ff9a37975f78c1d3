import { type AuditTrail, type Clock, type PeerTransport, type Random } from '@fescuespoke/common'
import { type News } from '@fescuespoke/schema'
import { type Maybe } from 'true-myth'

/** Data that gossip messages carry besides updates of members. */
export type GossipPayload = Omit<News, 'members'>

/** Timing and fan-out of probes and gossip. */
export interface MembershipLimits {
  /** Interval between probes in milliseconds. */
  readonly probeMs: number
  /** Maximum time to wait for the answer to a probe in milliseconds. */
  readonly probeTimeoutMs: number
  /**
   * Time in milliseconds after which a suspect is declared dead unless it refutes the suspicion, in a fleet of ten or
   * fewer instances. Grows with the logarithm of the fleet size.
   */
  readonly suspicionMs: number
  /** Time in milliseconds after which a dead member is removed; at least the duration of two probe rounds. */
  readonly deadRetentionMs: number
  /** Interval in milliseconds between full synchronizations of the members with a random peer. */
  readonly syncMs: number
  /** Interval in milliseconds between probes of instances that are dead, or listed but unknown. */
  readonly searchMs: number
  /** Number of peers that are requested to probe a member that does not answer. */
  readonly indirectProbeCount: number
  /** Number of members that are probed immediately to spread a change of the local instance. */
  readonly gossipFanout: number
  /** Maximum number of other members in one gossip message. */
  readonly maxGossipMembers: number
}

/** Defaults of the membership limits. */
export const DEFAULT_MEMBERSHIP_LIMITS: MembershipLimits = {
  probeMs: 1000,
  probeTimeoutMs: 300,
  suspicionMs: 3000,
  deadRetentionMs: 120_000,
  syncMs: 30_000,
  searchMs: 5000,
  indirectProbeCount: 3,
  gossipFanout: 3,
  maxGossipMembers: 16
}

/** Options of the membership. */
export interface MembershipOptions {
  /** Name of the local instance. */
  readonly instance: string
  /** Incarnation of the local instance, which identifies this run of the process. */
  readonly incarnation: string
  /** Base URL of the local instance for callers. */
  readonly url: string
  /** Address of the local instance for peers, as `host:port`. */
  readonly peerAddress: string
  readonly availabilityZone: string
  readonly region: string
  /** Processor cores that the local instance may use, and bandwidth of its link; absent where they are not known. */
  readonly cores?: number
  readonly linkMbps?: number
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly random: Random
  /** Audit trail in which state changes and restarts of members are recorded. */
  readonly audit?: AuditTrail
  /** Returns the data that the local instance sends to its peers with each gossip message. */
  readonly getGossipPayload: () => GossipPayload
  /**
   * Called with the data of each received gossip message.
   * @param from - Name of the peer that sent the message.
   * @param payload - Received data. Its ages are relative to `sentAtMs`.
   * @param sentAtMs - Time on the local clock at which the answered request was sent; `Maybe.nothing()` if the message
   * was a request of the peer.
   */
  readonly handleGossipPayload: (from: string, payload: GossipPayload, sentAtMs: Maybe<number>) => void
  /** Overrides of `DEFAULT_MEMBERSHIP_LIMITS`. */
  readonly limits?: Partial<MembershipLimits>
}
