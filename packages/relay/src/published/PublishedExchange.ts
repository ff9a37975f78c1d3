import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type PublishedItem } from './PublishedItem.js'
import { type PublishedView } from './PublishedView.js'

/** Options of a published exchange. */
export interface PublishedExchangeOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly view: PublishedView
  readonly log: DecisionLog
  /** Lists the peers that are considered alive. */
  readonly listPeers: () => readonly string[]
}

/** Maximum time to wait for the answer of a peer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500

/** Maximum number of peers that are tried when the store does not answer. */
const MAX_PEERS_PER_FETCH = 3

/** Transfers published keys between instances, each with its own revision. */
export class PublishedExchange {
  /**
   * Creates an exchange.
   * @param options - Options of the exchange.
   */
  static create (options: PublishedExchangeOptions): PublishedExchange {
    return new PublishedExchange(options)
  }

  private readonly fetching = new Set<string>()
  private nextPeerIndex = 0

  /** @internal */
  private constructor (private readonly options: PublishedExchangeOptions) {
    const { transport, view } = options
    transport.setHandler('publishedRequest', ({ haveRevision }) => ({
      type: 'publishedAnswer',
      revision: view.getRevision(),
      items: view.listChanges(haveRevision).map(({ key, revision, value }) => ({ key, revision, text: value }))
    }))
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
   * Fetches changes from a peer that reported a higher revision.
   * @param peer - Name of the peer.
   * @param revision - Revision that the peer reported.
   */
  async handlePeerRevision (peer: string, revision: number): Promise<void> {
    if (revision > this.options.view.getRevision()) await this.fetchFromPeer(peer)
  }

  private async fetchFromPeer (peer: string): Promise<boolean> {
    const { transport, view, log } = this.options
    if (this.fetching.has(peer)) return false
    this.fetching.add(peer)
    const previousRevision = view.getRevision()
    const answer = await transport.request<'publishedAnswer'>(peer, { type: 'publishedRequest', haveRevision: previousRevision }, ANSWER_TIMEOUT_MS)
    this.fetching.delete(peer)
    if (answer.isErr) return false
    const items: PublishedItem[] = answer.value.items.map(({ key, revision, text }) => ({ key, revision, value: text }))
    view.applyChanges(items, answer.value.revision)
    if (answer.value.revision > previousRevision) log.recordStateChange('published keys taken over', { peer, before: previousRevision, revision: answer.value.revision, keys: items.length })
    return true
  }
}
