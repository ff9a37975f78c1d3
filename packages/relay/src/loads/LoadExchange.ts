import { type Clock, type PeerTransport } from '@fescuespoke/common'
import { type PrefixNews, type TargetSpeedNews, type TargetWork } from '@fescuespoke/schema'
import { type PromptPrefixes } from '../prefixes/PromptPrefixes.js'
import { comparePositions, formatSummary, parseSummary, type PublishedSummary, START_POSITION } from '../published/PublishedPosition.js'
import { type SpeedNews, type TargetSpeeds } from '../speeds/TargetSpeeds.js'
import { type TargetLoad, type TargetLoads } from './TargetLoads.js'

/** Availability of the store as seen by an instance. */
export interface StoreStatus {
  /** Age of the last answer of the store, in milliseconds. */
  readonly answerAgeMs: number
  /** Time since the last outage of the store, in milliseconds; `Infinity` when there was none. */
  readonly timeSinceOutageMs: number
}

/** Options of a load exchange. */
export interface LoadExchangeOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly loads: TargetLoads
  /** Speeds of targets, which peers tell one another with the loads. */
  readonly speeds?: TargetSpeeds
  /** Lists the peers that receive loads. */
  readonly listPeers: () => readonly string[]
  /** Returns what this instance has of the published keys. */
  readonly getSummary: () => PublishedSummary
  /**
   * Handles what a peer has of the published keys.
   * @param peer - Name of the peer.
   * @param summary - What the peer reported.
   */
  readonly handlePeerSummary: (peer: string, summary: PublishedSummary) => void
  /** Returns the store status of this instance; undefined when the store does not answer. */
  readonly getStoreStatus?: () => StoreStatus | undefined
  /** Handles the store status that a peer reported. */
  readonly handlePeerStoreStatus?: (status: StoreStatus) => void
  /** Beginnings of prompts that engines hold, of which peers are told. */
  readonly prefixes?: PromptPrefixes
  /** Called after a peer has sent its loads. */
  readonly onPeerLoad: () => void
  /** Interval at which changed loads are sent, in milliseconds. */
  readonly intervalMs?: number
}

/** Default interval at which changed loads are sent, in milliseconds. */
export const DEFAULT_INTERVAL_MS = 200

/** Delay in which several urgent changes are combined into one message, in milliseconds. */
const URGENT_SEND_DELAY_MS = 10

/** Interval at which unchanged loads are sent, in milliseconds. */
const REFRESH_INTERVAL_MS = 1000

/** Minimum interval between two messages with speeds, which change slowly, in milliseconds. */
const SPEEDS_INTERVAL_MS = 1000

/** Maximum number of peers to which loads are sent at a time. */
const MAX_PEERS_PER_SEND = 10

const NO_LOAD: TargetLoad = { running: 0, tokens: 0 }

/** Maximum time to wait for the answer of a peer, in milliseconds. */
export const LOADS_ANSWER_TIMEOUT_MS = 1000

/** Sends the loads of this instance at targets to peers, so that each instance selects targets by the total load. */
export class LoadExchange {
  /**
   * Creates an exchange that is not running.
   * @param options - Options of the exchange.
   */
  static create (options: LoadExchangeOptions): LoadExchange {
    return new LoadExchange(options)
  }

  private readonly stopController = new AbortController()
  private lastSentAtMs = -Infinity
  private lastSpeedsSentAtMs = -Infinity
  private lastSentSummary: PublishedSummary = { ...START_POSITION, version: 0 }
  private isSendScheduled = false
  private firstPeerIndex = 0

  /** @internal */
  private constructor (private readonly options: LoadExchangeOptions) {
    options.transport.setHandler('loadNews', ({ entries, promptPrefixes = [], viewAgeMs: answerAgeMs, storeCalmMs: timeSinceOutageMs = Infinity, ...summary }, from) => {
      if (answerAgeMs !== undefined) options.handlePeerStoreStatus?.({ answerAgeMs, timeSinceOutageMs })
      options.loads.updatePeer(from, new Map(entries.map(entry => [entry.target, parseLoad(entry)])))
      options.speeds?.mergeNews(from, new Map(entries.flatMap(({ target, speed }) => speed === undefined ? [] : [[target, speed]])))
      options.prefixes?.mergeNews(from, promptPrefixes)
      options.handlePeerSummary(from, parseSummary(summary))
      options.onPeerLoad()
      return { type: 'loadNewsAnswer', ...formatSummary(options.getSummary()) }
    })
  }

  /** Sends loads until stopped. */
  async run (): Promise<void> {
    const { clock, intervalMs = DEFAULT_INTERVAL_MS } = this.options
    this.options.loads.setUrgentListener(() => this.scheduleSend())
    while (!this.stopController.signal.aborted) {
      await clock.sleep(intervalMs, this.stopController.signal)
      if (this.shouldSend()) this.sendToPeers()
    }
  }

  /** Stops sending. */
  stop (): void {
    this.stopController.abort()
  }

  /** Schedules an early send when a generation starts, so that other instances do not place theirs behind the same prompt. */
  private scheduleSend (): void {
    if (this.isSendScheduled) return
    this.isSendScheduled = true
    this.options.clock.startTimer(URGENT_SEND_DELAY_MS, () => {
      this.isSendScheduled = false
      if (!this.stopController.signal.aborted) this.sendToPeers()
    })
  }

  private shouldSend (): boolean {
    const { loads, clock, getSummary } = this.options
    const summary = getSummary()
    const isChanged = loads.consumeChanged() || comparePositions(summary, this.lastSentSummary) !== 0 || summary.version !== this.lastSentSummary.version
    return isChanged || clock.nowMs() - this.lastSentAtMs >= REFRESH_INTERVAL_MS
  }

  /** Returns the next peers in rotation, so that the cost per instance does not grow with the fleet. */
  private selectPeers (): string[] {
    const peers = this.options.listPeers()
    if (peers.length <= MAX_PEERS_PER_SEND) return [...peers]
    this.firstPeerIndex = (this.firstPeerIndex + MAX_PEERS_PER_SEND) % peers.length
    return Array.from({ length: MAX_PEERS_PER_SEND }, (_, index) => peers[(this.firstPeerIndex + index) % peers.length]!)
  }

  /** Creates the entries of a message; one without load tells the speed of a target at which this instance has no requests. */
  private createEntries (): TargetWork[] {
    const { loads } = this.options
    const news = this.takeSpeeds()
    const ownLoads = loads.listOwnLoads()
    const unused = [...news.keys()].filter(target => !ownLoads.has(target)).map(target => [target, NO_LOAD] as const)
    return [...ownLoads, ...unused].map(([target, load]) => formatLoad(target, load, news.get(target)))
  }

  /** Returns the speeds for the next message; few messages have some, which bounds their bytes. */
  private takeSpeeds (): SpeedNews {
    const { clock, speeds } = this.options
    if (speeds === undefined || clock.nowMs() - this.lastSpeedsSentAtMs < SPEEDS_INTERVAL_MS) return new Map()
    const news = speeds.listNews()
    if (news.size > 0) this.lastSpeedsSentAtMs = clock.nowMs()
    return news
  }

  private sendToPeers (): void {
    const { clock, transport, getSummary, getStoreStatus, handlePeerSummary } = this.options
    this.lastSentAtMs = clock.nowMs()
    this.lastSentSummary = getSummary()
    const message = { type: 'loadNews' as const, ...formatSummary(this.lastSentSummary), entries: this.createEntries(), ...formatPrefixNews(this.options.prefixes?.listNews()), ...formatStoreStatus(getStoreStatus?.()) }
    for (const peer of this.selectPeers()) {
      transport.request<'loadNewsAnswer'>(peer, message, LOADS_ANSWER_TIMEOUT_MS).then(answer => {
        if (answer.isOk) handlePeerSummary(peer, parseSummary(answer.value))
      })
    }
  }
}

/** Formats a store status as the optional fields of a `loadNews` message; `storeCalmMs` is the time since the last outage. */
function formatStoreStatus (status: StoreStatus | undefined): { viewAgeMs?: number, storeCalmMs?: number } {
  if (status === undefined) return {}
  return { viewAgeMs: Math.round(status.answerAgeMs), storeCalmMs: Number.isFinite(status.timeSinceOutageMs) ? Math.round(status.timeSinceOutageMs) : undefined }
}

/** Formats news about prompts as the optional field of a `loadNews` message. Instances of an earlier release do not know it, so it is absent where there is no news. */
function formatPrefixNews (news: PrefixNews[] = []): { promptPrefixes?: PrefixNews[] } {
  return news.length === 0 ? {} : { promptPrefixes: news }
}

/** Formats an entry; members of an earlier release refuse a message with a speed, so it is absent where there is nothing to tell. */
function formatLoad (target: string, { running, tokens, heldTokens = 0, pendingPrefillTokens = 0 }: TargetLoad, speed: TargetSpeedNews | undefined): TargetWork {
  return { target, running, tokens: roundTokens(tokens), heldTokens: roundTokens(heldTokens), unreadTokens: roundTokens(pendingPrefillTokens), ...(speed === undefined ? {} : { speed }) }
}

function parseLoad ({ running, tokens, heldTokens, unreadTokens }: TargetWork): TargetLoad {
  return { running, tokens, heldTokens, pendingPrefillTokens: unreadTokens }
}

function roundTokens (tokens: number): number {
  return Math.max(0, Math.round(tokens))
}
