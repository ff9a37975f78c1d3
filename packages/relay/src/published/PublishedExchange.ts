import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type PublishedRequest } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { DEFERRAL_MS, LargeValueDeferral } from './LargeValueDeferral.js'
import { type PublishedChanges, type PublishedItem } from './PublishedItem.js'
import { comparePositions, formatPosition, type PublishedPosition, type PublishedSummary, START_POSITION } from './PublishedPosition.js'
import { type PublishedView } from './PublishedView.js'

/** Options of a published exchange. */
export interface PublishedExchangeOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly view: PublishedView
  readonly log: DecisionLog
  /** Lists the peers that are considered alive. */
  readonly listPeers: () => readonly string[]
  /** Returns whether the store does not answer this instance; by default, it does. */
  readonly isStoreLost?: () => boolean
}

/** Maximum time to wait for the answer of a peer, in milliseconds. */
export const KEYS_ANSWER_TIMEOUT_MS = 500

/** Time in which changes that a peer has reported are expected to arrive, in milliseconds. */
export const PEER_CHANGES_TIMEOUT_MS = 100

/** Delay until another peer is asked for large values that the store does not send and a peer has left out, in milliseconds. */
const NEXT_PEER_DELAY_MS = 100

/** Time for which changes have to be missing until only one fetch runs at a time, in milliseconds. */
const LONG_BEHIND_MS = 500

/** Maximum number of peers that are tried when the store does not answer. */
const MAX_PEERS_PER_FETCH = 3

/** Transfers published keys between instances, each with its own position. */
export class PublishedExchange {
  /**
   * Creates an exchange.
   * @param options - Options of the exchange.
   */
  static create (options: PublishedExchangeOptions): PublishedExchange {
    return new PublishedExchange(options)
  }

  private readonly deferral: LargeValueDeferral
  private readonly fetching = new Set<string>()
  private isFetchScheduled = false
  /** Peers whose last fetch failed; a fetch from one of them keeps no other from starting. */
  private readonly failedPeers = new Set<string>()
  private nextPeerIndex = 0
  /** Peers that have reported changes since this instance last had all of them. */
  private readonly peersAhead = new Set<string>()
  /** Highest version that a peer had and this instance could not use; it is not fetched again. */
  private unusableVersion = 0
  /** Latest position that a peer reported, and the time since which this instance lacks changes that peers have reported. */
  private latestPosition: PublishedPosition = START_POSITION
  private behindSinceMs = Infinity

  /** @internal */
  private constructor (private readonly options: PublishedExchangeOptions) {
    this.deferral = LargeValueDeferral.create(options.clock)
    options.transport.setHandler('publishedRequest', ({ haveEra = 0, haveRevision, haveVersion = 0, isStoreLost }, from) => {
      const { items, position } = this.selectChanges(from, { era: haveEra, revision: haveRevision, version: haveVersion }, isStoreLost)
      return {
        type: 'publishedAnswer',
        ...formatPosition(position),
        items: items.map(({ key, value, ...itemPosition }) => ({ key, ...formatPosition(itemPosition), text: value }))
      }
    })
  }

  /**
   * Fetches changes from peers, one peer after the other until one answers.
   * @returns Whether a peer answered.
   */
  async fetchFromPeers (): Promise<boolean> {
    const peers = this.options.listPeers()
    for (let attempts = 0; attempts < Math.min(MAX_PEERS_PER_FETCH, peers.length); attempts++) {
      const peer = peers[this.nextPeerIndex++ % peers.length]
      if (peer !== undefined && await this.fetchFromPeer(peer)) return true
    }
    return false
  }

  /**
   * Fetches changes from a peer that reported a later position or a higher version of a value.
   * @param peer - Name of the peer.
   * @param summary - What the peer has.
   */
  async handlePeerSummary (peer: string, summary: PublishedSummary): Promise<void> {
    const own = this.options.view.getSummary()
    this.recordPosition(summary)
    const hasNewerVersion = summary.version > Math.max(own.version, this.unusableVersion)
    if (comparePositions(summary, own) <= 0 && !hasNewerVersion) return
    this.peersAhead.add(peer)
    const isFetched = await this.fetchFromPeer(peer)
    const reached = this.options.view.getSummary()
    const isUnusable = isFetched && comparePositions(reached, summary) >= 0 && reached.version < summary.version
    if (isUnusable) this.unusableVersion = Math.max(this.unusableVersion, summary.version)
    if (isFetched && comparePositions(reached, summary) < 0) this.scheduleFetch(peer)
  }

  /**
   * Fetches the large values that a peer has left out: from it when it sends them, unless the store has brought them by then, or soon
   * from another peer when the store does not answer.
   */
  private scheduleFetch (peer: string): void {
    if (this.isFetchScheduled) return
    this.isFetchScheduled = true
    const needsLargeValues = this.needsLargeValues()
    this.options.clock.startTimer(needsLargeValues ? NEXT_PEER_DELAY_MS : DEFERRAL_MS, async () => {
      this.isFetchScheduled = false
      if (!this.lacksReportedChanges()) return
      const next = needsLargeValues ? this.findNextPeerAhead(peer) : peer
      if (await this.fetchFromPeer(next) && this.lacksReportedChanges() && needsLargeValues) this.scheduleFetch(next)
    })
  }

  /** Returns the peer after another one among those that have reported changes. */
  private findNextPeerAhead (peer: string): string {
    const peers = [...this.peersAhead]
    return peers[(peers.indexOf(peer) + 1) % peers.length] ?? peer
  }

  /** Returns whether changes that peers have reported did not arrive in the expected time. */
  isBehindPeers (): boolean {
    return this.lacksReportedChanges() && this.options.clock.nowMs() - this.behindSinceMs >= PEER_CHANGES_TIMEOUT_MS
  }

  /** Returns whether this instance lacks changes that peers have reported. */
  lacksReportedChanges (): boolean {
    return comparePositions(this.latestPosition, this.options.view.getPosition()) > 0
  }

  private recordPosition (position: PublishedPosition): void {
    if (comparePositions(position, this.latestPosition) <= 0) return
    const wasBehind = this.lacksReportedChanges()
    this.latestPosition = position
    if (wasBehind) return
    this.behindSinceMs = this.options.clock.nowMs()
    this.peersAhead.clear()
  }

  private async fetchFromPeer (peer: string): Promise<boolean> {
    const { view, log } = this.options
    if (!this.canFetch(peer)) return false
    this.fetching.add(peer)
    const before = view.getSummary()
    const keys = await this.fetchSince(peer, before)
    this.fetching.delete(peer)
    if (keys.isNothing) this.failedPeers.add(peer)
    else this.failedPeers.delete(peer)
    if (keys.isNothing) return false
    const after = view.getSummary()
    if (comparePositions(after, before) > 0 || after.version > before.version) log.recordStateChange('published keys taken over', { peer, keys: keys.value, heldEra: before.era, before: before.revision, ...after })
    return true
  }

  private needsLargeValues (): boolean {
    return this.isLongBehind() && this.options.isStoreLost?.() === true
  }

  private isLongBehind (): boolean {
    return this.lacksReportedChanges() && this.options.clock.nowMs() - this.behindSinceMs >= LONG_BEHIND_MS
  }

  /** Returns whether a fetch may start. While changes are missing for long, large values are among them, of which one at a time has room on the link. */
  private canFetch (peer: string): boolean {
    if (this.fetching.has(peer)) return false
    return !this.isLongBehind() || [...this.fetching].every(other => this.failedPeers.has(other))
  }

  /**
   * Fetches what a peer has since a position, and all its keys if it no longer knows all deletions since then.
   * @returns Number of keys in the last answer.
   */
  private async fetchSince (peer: string, since: PublishedSummary): Promise<Maybe<number>> {
    const answer = await this.options.transport.request<'publishedAnswer'>(peer, this.createRequest(since), KEYS_ANSWER_TIMEOUT_MS)
    if (answer.isErr) return Maybe.nothing()
    const { era = 0, revision, items } = answer.value
    this.applyAnswer(items.map(({ key, era: itemEra = 0, revision: itemRevision, text }) => ({ key, era: itemEra, revision: itemRevision, value: text })), { era, revision }, since)
    const lacksDeletions = isAtStart({ era, revision }) && !isAtStart(since)
    return lacksDeletions ? await this.fetchSince(peer, { ...since, revision: START_POSITION.revision }) : Maybe.just(items.length)
  }

  /** Asks for large values as well when the store does not send them, and only one fetch runs at a time. */
  private createRequest (since: PublishedSummary): PublishedRequest {
    return this.needsLargeValues() ? { ...formatRequest(since), isStoreLost: true } : formatRequest(since)
  }

  private applyAnswer (items: readonly PublishedItem[], position: PublishedPosition, since: PublishedPosition): void {
    const { view } = this.options
    if (hasAllKeys(position, since)) view.applyFullRead(items, position)
    else view.applyChanges(items, position)
  }

  /** Selects what a peer gets now of what it may not have. */
  private selectChanges (peer: string, have: PublishedSummary, isStoreLost?: boolean): PublishedChanges {
    const changes = { items: this.options.view.listChanges(have), position: this.getAnswerPosition(have) }
    // An answer that does not know all deletions is followed by one with all keys.
    return isAtStart(changes.position) ? changes : this.deferral.selectChanges(peer, have, changes, isStoreLost)
  }

  /** Returns up to where an answer is complete: nowhere, if deletions since the position of a peer in the same era are no longer known. */
  private getAnswerPosition (peer: PublishedPosition): PublishedPosition {
    const { view } = this.options
    const position = view.getPosition()
    const isComplete = hasAllKeys(position, peer) || view.hasAllDeletions(peer)
    return isComplete ? position : { ...position, revision: START_POSITION.revision }
  }
}

/** Returns whether an answer has all keys of a peer, since each of them is later than the position that the request stated. */
function hasAllKeys (answer: PublishedPosition, request: PublishedPosition): boolean {
  return answer.era > request.era || isAtStart(request)
}

/** Returns whether a position is before the first complete read; everything is later. */
function isAtStart ({ revision }: PublishedPosition): boolean {
  return revision === START_POSITION.revision
}

function formatRequest ({ era, revision, version }: PublishedSummary): PublishedRequest {
  const type = 'publishedRequest' as const
  return era === 0 ? { type, haveRevision: revision } : { type, haveEra: era, haveRevision: revision, haveVersion: version }
}
