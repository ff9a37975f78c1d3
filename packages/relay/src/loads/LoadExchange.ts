import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type TargetWork } from '@fescuespoke/schema'
import { type TargetLoad, type TargetLoads } from './TargetLoads.js'

/** How the store answers an instance. */
export interface StoreNews {
  /** Age of its last answer in milliseconds. */
  readonly ageMs: number
  /** Time since it was last in trouble, in milliseconds; `Infinity` where it never was. */
  readonly calmMs: number
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
  readonly observeRevision: (peer: string, revision: number) => void
  /** Gets how the store answers this instance; absent when it does not. */
  readonly getStoreNews?: () => StoreNews | undefined
  /** Observes how the store answers a peer. */
  readonly observeStoreNews?: (news: StoreNews) => void
  /** Called after peers told something new of their work. */
  readonly onChange: () => void
  /** Shortest interval at which peers are told of changes, in milliseconds. */
  readonly intervalMs?: number
}

const DEFAULT_INTERVAL_MS = 200

/** Time in which several urgent changes are told together, in milliseconds. */
const URGENT_MS = 10

/** Interval at which peers are told although nothing changed, in milliseconds. */
const REFRESH_MS = 1000

/** Peers told at once. */
const MAX_TOLD = 10

/** Longest wait for the confirmation of a peer in milliseconds. */
const ANSWER_MS = 1000

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
  private toldAtMs = -Infinity
  private toldRevision = 0
  private isTelling = false
  private turn = 0

  /** @internal */
  private constructor (private readonly options: LoadExchangeOptions) {
    options.transport.setHandler('loadNews', ({ entries, revision, viewAgeMs, storeCalmMs = Infinity }, from) => {
      if (viewAgeMs !== undefined) options.observeStoreNews?.({ ageMs: viewAgeMs, calmMs: storeCalmMs })
      options.loads.observePeer(from, new Map(entries.map(work => [work.target, parseWork(work)])))
      options.observeRevision(from, revision)
      options.onChange()
      return { type: 'loadNewsAnswer', revision: options.getRevision() }
    })
  }

  /** Tells peers until stopped. */
  async run (): Promise<void> {
    const { clock, intervalMs = DEFAULT_INTERVAL_MS } = this.options
    this.options.loads.setUrgentListener(() => this.tellSoon())
    while (!this.stopping.signal.aborted) {
      await clock.sleep(intervalMs, this.stopping.signal)
      if (this.mustTell()) this.tellPeers()
    }
  }

  /** Stops telling. */
  stop (): void {
    this.stopping.abort()
  }

  /** Generations that begin are told at once, so that others do not put theirs behind the same prompts. */
  private tellSoon (): void {
    if (this.isTelling) return
    this.isTelling = true
    this.options.clock.startTimer(URGENT_MS, () => {
      this.isTelling = false
      if (!this.stopping.signal.aborted) this.tellPeers()
    })
  }

  private mustTell (): boolean {
    const { loads, clock, getRevision } = this.options
    const isChanged = loads.takeChanged() || getRevision() !== this.toldRevision
    return isChanged || clock.nowMs() - this.toldAtMs >= REFRESH_MS
  }

  /** Takes the next peers by turns, so that the cost of an instance does not grow with the fleet. */
  private takePeers (): string[] {
    const peers = this.options.listPeers()
    if (peers.length <= MAX_TOLD) return [...peers]
    this.turn = (this.turn + MAX_TOLD) % peers.length
    return Array.from({ length: MAX_TOLD }, (_, index) => peers[(this.turn + index) % peers.length]!)
  }

  private tellPeers (): void {
    const { clock, transport, loads, getRevision, getStoreNews, observeRevision } = this.options
    this.toldAtMs = clock.nowMs()
    this.toldRevision = getRevision()
    const entries = [...loads.listOwn()].map(([target, load]) => formatWork(target, load))
    const news = { type: 'loadNews' as const, revision: this.toldRevision, entries, ...formatStoreNews(getStoreNews?.()) }
    for (const peer of this.takePeers()) {
      transport.request<'loadNewsAnswer'>(peer, news, ANSWER_MS).then(answer => {
        if (answer.isOk) observeRevision(peer, answer.value.revision)
      })
    }
  }
}

function formatStoreNews (news: StoreNews | undefined): { viewAgeMs?: number, storeCalmMs?: number } {
  if (news === undefined) return {}
  return { viewAgeMs: Math.round(news.ageMs), storeCalmMs: Number.isFinite(news.calmMs) ? Math.round(news.calmMs) : undefined }
}

function formatWork (target: string, { running, tokens, held = 0, unread = 0 }: TargetLoad): TargetWork {
  return { target, running, tokens: roundTokens(tokens), heldTokens: roundTokens(held), unreadTokens: roundTokens(unread) }
}

function parseWork ({ running, tokens, heldTokens, unreadTokens }: TargetWork): TargetLoad {
  return { running, tokens, held: heldTokens, unread: unreadTokens }
}

function roundTokens (tokens: number): number {
  return Math.max(0, Math.round(tokens))
}
