import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type TargetWork } from '@fescuespoke/schema'
import { type TargetLoad, type TargetLoads } from './TargetLoads.js'

/** How the store answers an instance. */
export interface StoreStatus {
  /** Age of its last answer in milliseconds. */
  readonly answerAgeMs: number
  /** Time since it was last in trouble, in milliseconds; `Infinity` where it never was. */
  readonly timeSinceOutageMs: number
}

/** Options of an exchange. */
export interface LoadExchangeOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly loads: TargetLoads
  /** Lists the peers that are told. */
  readonly listPeers: () => readonly string[]
  /** Gets the revision of the published keys that this instance knows. */
  readonly getRevision: () => number
  /**
   * Observes the revision that a peer knows.
   * @param peer - Name of the peer.
   * @param revision - The revision.
   */
  readonly handlePeerRevision: (peer: string, revision: number) => void
  /** Gets how the store answers this instance; absent when it does not. */
  readonly getStoreStatus?: () => StoreStatus | undefined
  /** Observes how the store answers a peer. */
  readonly handlePeerStoreStatus?: (status: StoreStatus) => void
  /** Called after peers told something new of their work. */
  readonly onPeerLoad: () => void
  /** Shortest interval at which peers are told of changes, in milliseconds. */
  readonly intervalMs?: number
}

const DEFAULT_INTERVAL_MS = 200

/** Time in which several urgent changes are told together, in milliseconds. */
const URGENT_SEND_DELAY_MS = 10

/** Interval at which peers are told although nothing changed, in milliseconds. */
const REFRESH_INTERVAL_MS = 1000

/** Peers told at once. */
const MAX_PEERS_PER_SEND = 10

/** Longest wait for the confirmation of a peer in milliseconds. */
const ANSWER_TIMEOUT_MS = 1000

/** Tells peers of the own work at targets, so that all choose by the work of all. */
export class LoadExchange {
  /**
   * Creates an exchange that does not run yet.
   * @param options - Options of the exchange.
   */
  static create (options: LoadExchangeOptions): LoadExchange {
    return new LoadExchange(options)
  }

  private readonly stopping = new AbortController()
  private lastSentAtMs = -Infinity
  private lastSentRevision = 0
  private isSendScheduled = false
  private nextPeerIndex = 0

  /** @internal */
  private constructor (private readonly options: LoadExchangeOptions) {
    options.transport.setHandler('loadNews', ({ entries, revision, viewAgeMs, storeCalmMs = Infinity }, from) => {
      if (viewAgeMs !== undefined) options.handlePeerStoreStatus?.({ answerAgeMs: viewAgeMs, timeSinceOutageMs: storeCalmMs })
      options.loads.updatePeer(from, new Map(entries.map(entry => [entry.target, parseLoad(entry)])))
      options.handlePeerRevision(from, revision)
      options.onPeerLoad()
      return { type: 'loadNewsAnswer', revision: options.getRevision() }
    })
  }

  /** Tells peers until stopped. */
  async run (): Promise<void> {
    const { clock, intervalMs = DEFAULT_INTERVAL_MS } = this.options
    this.options.loads.setUrgentListener(() => this.scheduleSend())
    while (!this.stopping.signal.aborted) {
      await clock.sleep(intervalMs, this.stopping.signal)
      if (this.shouldSend()) this.sendToPeers()
    }
  }

  /** Stops telling. */
  stop (): void {
    this.stopping.abort()
  }

  /** Generations that begin are told at once, so that others do not put theirs behind the same prompts. */
  private scheduleSend (): void {
    if (this.isSendScheduled) return
    this.isSendScheduled = true
    this.options.clock.startTimer(URGENT_SEND_DELAY_MS, () => {
      this.isSendScheduled = false
      if (!this.stopping.signal.aborted) this.sendToPeers()
    })
  }

  private shouldSend (): boolean {
    const { loads, clock, getRevision } = this.options
    const isChanged = loads.consumeChanged() || getRevision() !== this.lastSentRevision
    return isChanged || clock.nowMs() - this.lastSentAtMs >= REFRESH_INTERVAL_MS
  }

  /** Takes the next peers by turns, so that the cost of an instance does not grow with the fleet. */
  private selectPeers (): string[] {
    const peers = this.options.listPeers()
    if (peers.length <= MAX_PEERS_PER_SEND) return [...peers]
    this.nextPeerIndex = (this.nextPeerIndex + MAX_PEERS_PER_SEND) % peers.length
    return Array.from({ length: MAX_PEERS_PER_SEND }, (_, index) => peers[(this.nextPeerIndex + index) % peers.length]!)
  }

  private sendToPeers (): void {
    const { clock, transport, loads, getRevision, getStoreStatus, handlePeerRevision } = this.options
    this.lastSentAtMs = clock.nowMs()
    this.lastSentRevision = getRevision()
    const entries = [...loads.listOwnLoads()].map(([target, load]) => formatLoad(target, load))
    const message = { type: 'loadNews' as const, revision: this.lastSentRevision, entries, ...formatStoreStatus(getStoreStatus?.()) }
    for (const peer of this.selectPeers()) {
      transport.request<'loadNewsAnswer'>(peer, message, ANSWER_TIMEOUT_MS).then(answer => {
        if (answer.isOk) handlePeerRevision(peer, answer.value.revision)
      })
    }
  }
}

function formatStoreStatus (status: StoreStatus | undefined): { viewAgeMs?: number, storeCalmMs?: number } {
  if (status === undefined) return {}
  return { viewAgeMs: Math.round(status.answerAgeMs), storeCalmMs: Number.isFinite(status.timeSinceOutageMs) ? Math.round(status.timeSinceOutageMs) : undefined }
}

function formatLoad (target: string, { running, tokens, heldTokens = 0, pendingPrefillTokens = 0 }: TargetLoad): TargetWork {
  return { target, running, tokens: roundTokens(tokens), heldTokens: roundTokens(heldTokens), unreadTokens: roundTokens(pendingPrefillTokens) }
}

function parseLoad ({ running, tokens, heldTokens, unreadTokens }: TargetWork): TargetLoad {
  return { running, tokens, heldTokens, pendingPrefillTokens: unreadTokens }
}

function roundTokens (tokens: number): number {
  return Math.max(0, Math.round(tokens))
}
