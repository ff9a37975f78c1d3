import { type AuditTrail, type Clock, type PeerTransport, type Random } from '@fescuespoke/common'
import { type News } from '@fescuespoke/schema'
import { type Maybe } from 'true-myth'

/** What probes carry besides news of members. */
export type FleetNews = Omit<News, 'members'>

/** Durations and counts of probing. */
export interface MembershipLimits {
  /** Interval of probes. */
  readonly probeMs: number
  /** Longest wait for the answer to a probe. */
  readonly probeTimeoutMs: number
  /** Time that a suspect has to refute in a fleet of ten or less; it grows with the logarithm of the fleet's size. */
  readonly suspicionMs: number
  /** Time after which a dead member is forgotten; at least two rounds of probes. */
  readonly forgetMs: number
  /** Interval at which all members are compared with those of a random peer. */
  readonly syncMs: number
  /** Interval at which an instance that is listed or dead is looked for. */
  readonly searchMs: number
  /** Number of peers that are asked to probe for this one. */
  readonly indirectProbes: number
  /** Number of members that are probed at once when there is something to announce. */
  readonly announceProbes: number
  /** Number of members in the news of one message. */
  readonly maxNews: number
}

/** Durations and counts that hold where an option is absent. */
export const DEFAULT_MEMBERSHIP_LIMITS: MembershipLimits = {
  probeMs: 1000,
  probeTimeoutMs: 300,
  suspicionMs: 3000,
  forgetMs: 120_000,
  syncMs: 30_000,
  searchMs: 5000,
  indirectProbes: 3,
  announceProbes: 3,
  maxNews: 16
}

/** Options of the membership. */
export interface MembershipOptions {
  /** Name of the own instance. */
  readonly instance: string
  /** Name of this run of the process. */
  readonly incarnation: string
  /** Base URL of the own instance for callers. */
  readonly url: string
  /** Host and port of the own instance for peers. */
  readonly peerAddress: string
  readonly availabilityZone: string
  readonly region: string
  readonly transport: PeerTransport
  readonly clock: Clock
  readonly random: Random
  /** Receives each change of a member. */
  readonly audit?: AuditTrail
  /** Gets what this instance tells its peers. */
  readonly getNews: () => FleetNews
  /**
   * Observes what a peer told.
   * @param from - Name of the peer.
   * @param news - What it told; its ages are counted from `sentAtMs`.
   * @param sentAtMs - Reading of the own clock when the answered request was sent; nothing when the peer told it unasked.
   */
  readonly observeNews: (from: string, news: FleetNews, sentAtMs: Maybe<number>) => void
  /** Durations and counts that differ from `DEFAULT_MEMBERSHIP_LIMITS`. */
  readonly limits?: Partial<MembershipLimits>
}
