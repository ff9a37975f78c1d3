import { type Clock, type PeerError, type PeerTransport } from '@fescuespoke/common'
import { type OriginAnswer } from '@fescuespoke/schema'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayRoute } from '../model/RelayConfiguration.js'
import { OriginMemory, type RememberedStream } from './OriginMemory.js'
import { PeerRanking } from './PeerRanking.js'
import { formatOriginKey, type StreamOrigin } from './StreamOrigin.js'
import { type ObservedOrigins, type VersionHistory } from './VersionHistory.js'

/** Options of an origin exchange. */
export interface OriginExchangeOptions {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly history: VersionHistory
  readonly log: DecisionLog
  /** Lists the names of the peers that are considered alive. */
  readonly listPeers: () => readonly string[]
  /** Returns whether this instance knows all targets that were published before the call; asks the store for it. By default, it does. */
  readonly confirmTargets?: (endAtMs: number) => Promise<boolean>
}

/** A caller that resumes a stream. */
export interface ResumedStream {
  readonly route: RelayRoute
  /** Id of the request that brought the first event; absent when the caller names none. */
  readonly requestId?: string
  /** Id of the caller's present request. */
  readonly currentId: string
  /** Clock reading at which the answer is of no use any more. */
  readonly deadlineAtMs: number
  /** Time for which the caller still waits, in milliseconds; absent when the caller does not say. */
  readonly callerRemainingMs?: number
}

/** Number of peers that are told of a stream and, since peers join and leave, number of those that are asked first. */
const TOLD_PEERS = 3
const FIRST_ASKED_PEERS = 4

/** Maximum number of further peers that are asked when the first ones do not know a stream. */
const MAX_OTHER_ASKED_PEERS = 12

/** Maximum time to wait for the answers of peers that are asked at the same time, in milliseconds. */
const ASK_TIMEOUT_MS = 50

/** Maximum time to wait until the store has confirmed that this instance knows all targets, in milliseconds. */
const CONFIRMATION_TIMEOUT_MS = 300

/** Maximum time to wait for the confirmation of a report, in milliseconds. */
const TELL_TIMEOUT_MS = 1000

/** Delay in which several streams are combined into one report, in milliseconds. */
const TELL_DELAY_MS = 10

/** Maximum number of streams in one report. */
const MAX_STREAMS_PER_REPORT = 500

/** Time for which a peer that closed the connection gets no messages about origins, in milliseconds; it may be of an earlier release. */
const PEER_PAUSE_MS = 5000

/**
 * Minimum time in which callers resume a stream, in milliseconds. Callers may have more time than the present timeout of the route, and
 * with 30 s an instance that started after a stream took a later version for the only one that the stream could have.
 */
const MIN_LIFETIME_MS = 60_000

/** Remembers where resumable streams began, tells peers while a service has several software versions, and asks them when a caller resumes a stream. */
export class OriginExchange {
  /**
   * Creates an exchange and handles the messages of peers.
   * @param options - Options of the exchange.
   */
  static create (options: OriginExchangeOptions): OriginExchange {
    return new OriginExchange(options)
  }

  private readonly memory: OriginMemory
  private readonly ranking: PeerRanking
  /** Clock readings until which peers get no messages. */
  private readonly pausedUntilMs = new Map<string, number>()
  private pendingStreams: RememberedStream[] = []

  /** @internal */
  private constructor (private readonly options: OriginExchangeOptions) {
    const { clock, transport, history, listPeers } = options
    this.memory = OriginMemory.create(clock)
    this.ranking = PeerRanking.create(listPeers)
    history.addListener(() => this.tellStreams(this.memory.takeUntold()))
    transport.setHandler('originNews', ({ streams }) => {
      for (const { requestId, origin, validForMs } of streams) this.memory.record({ requestId, origin, expiresAtMs: clock.nowMs() + validForMs, isUntold: false })
      return { type: 'originNewsAnswer' }
    })
    transport.setHandler('originRequest', ({ requestId, services, windowMs }) => {
      // A peer of an earlier release requests a period that may be too short.
      const { origins, isComplete } = history.getObserved(services, Math.max(MIN_LIFETIME_MS, windowMs))
      return { type: 'originAnswer', origin: this.memory.getOrigin(requestId), origins: [...origins], isComplete }
    })
  }

  /**
   * Records the first event that a request forwarded of a resumable stream.
   * @param route - Route of the request.
   * @param requestId - Id of the request that brought the first event of the stream.
   * @param origin - Origin of the stream.
   * @param callerRemainingMs - Time for which the caller still waits, in milliseconds; absent when the caller does not say.
   */
  recordStream (route: RelayRoute, requestId: string, origin: StreamOrigin, callerRemainingMs?: number): void {
    const lifetimeMs = computeLifetimeMs(route, callerRemainingMs)
    const isAmbiguous = findOnlyOrigin([this.options.history.getObserved(listServices(route), lifetimeMs)]) === undefined
    const stream: RememberedStream = { requestId, origin, expiresAtMs: this.options.clock.nowMs() + lifetimeMs, isUntold: !isAmbiguous }
    this.memory.record(stream)
    if (isAmbiguous) this.tellStreams([stream])
  }

  /**
   * Returns the origin of a stream that a caller resumes, from this instance or its peers; undefined when nobody knows it and it
   * could be one of several.
   * @param stream - The stream.
   */
  async findOrigin (stream: ResumedStream): Promise<StreamOrigin | undefined> {
    const own = stream.requestId === undefined ? undefined : this.memory.getOrigin(stream.requestId)
    const startedAtMs = this.options.clock.nowMs()
    const origin = own ?? await this.askPeers(stream)
    this.options.log.recordDecision(stream.currentId, 'stream resumed', {
      resumes: stream.requestId, service: origin?.service, softwareVersion: origin?.softwareVersion, isKnown: origin !== undefined, isOwn: own !== undefined, tookMs: Math.round(this.options.clock.nowMs() - startedAtMs)
    })
    return origin
  }

  /** Asks the peers that should know a stream, then others; falls back to the only origin that it can have. */
  private async askPeers (stream: ResumedStream): Promise<StreamOrigin | undefined> {
    const observed: ObservedOrigins[] = []
    const peers = this.listPeers(stream.requestId ?? stream.currentId)
    for (const group of [peers.slice(0, FIRST_ASKED_PEERS), peers.slice(FIRST_ASKED_PEERS, FIRST_ASKED_PEERS + MAX_OTHER_ASKED_PEERS)]) {
      const origin = await this.askGroup(stream, group, observed)
      if (origin !== undefined) return origin
    }
    return await this.deriveOrigin(stream, observed)
  }

  /**
   * Returns the only origin that a stream can have. It may have begun, through another instance, at a target that was published a moment
   * ago, so the store has to confirm first that this instance knows all targets.
   */
  private async deriveOrigin ({ route, callerRemainingMs, deadlineAtMs }: ResumedStream, peersObserved: readonly ObservedOrigins[]): Promise<StreamOrigin | undefined> {
    const { clock, history, confirmTargets = async () => true } = this.options
    const findOrigin = (): StreamOrigin | undefined => findOnlyOrigin([history.getObserved(listServices(route), computeLifetimeMs(route, callerRemainingMs)), ...peersObserved])
    if (findOrigin() === undefined) return undefined
    const isConfirmed = await confirmTargets(Math.min(deadlineAtMs, clock.nowMs() + CONFIRMATION_TIMEOUT_MS))
    return isConfirmed ? findOrigin() : undefined
  }

  /** Asks peers at the same time; returns the origin as soon as one knows it. */
  private async askGroup (stream: ResumedStream, peers: readonly string[], observed: ObservedOrigins[]): Promise<StreamOrigin | undefined> {
    return await new Promise(resolve => {
      const answers = peers.map(async peer => {
        const answer = await this.askPeer(stream, peer)
        if (answer?.origin !== undefined) resolve(answer.origin)
        if (answer !== undefined) observed.push(answer)
      })
      Promise.all(answers).then(() => resolve(undefined))
    })
  }

  private async askPeer ({ route, requestId, currentId, deadlineAtMs, callerRemainingMs }: ResumedStream, peer: string): Promise<OriginAnswer | undefined> {
    const { clock, transport } = this.options
    const timeoutMs = Math.min(ASK_TIMEOUT_MS, deadlineAtMs - clock.nowMs())
    if (timeoutMs <= 0) return undefined
    const message = { type: 'originRequest' as const, requestId: requestId ?? currentId, services: listServices(route), windowMs: computeLifetimeMs(route, callerRemainingMs) }
    const answer = await transport.request<'originAnswer'>(peer, message, timeoutMs)
    if (answer.isErr) this.handleFailure(peer, answer.error)
    return answer.unwrapOr(undefined)
  }

  /** Tells peers of streams; those of a short time go into one report for each peer. */
  private tellStreams (streams: readonly RememberedStream[]): void {
    if (streams.length === 0) return
    const isScheduled = this.pendingStreams.length > 0
    this.pendingStreams.push(...streams)
    if (!isScheduled) this.options.clock.startTimer(TELL_DELAY_MS, () => this.sendReports())
  }

  private sendReports (): void {
    const streamsByPeer = new Map<string, RememberedStream[]>()
    for (const stream of this.pendingStreams) {
      for (const peer of this.listPeers(stream.requestId).slice(0, TOLD_PEERS)) {
        const streams = streamsByPeer.get(peer)
        if (streams === undefined) streamsByPeer.set(peer, [stream])
        else streams.push(stream)
      }
    }
    this.pendingStreams = []
    for (const [peer, streams] of streamsByPeer) this.sendReport(peer, streams)
  }

  private async sendReport (peer: string, streams: readonly RememberedStream[]): Promise<void> {
    const { clock, transport } = this.options
    for (let index = 0; index < streams.length; index += MAX_STREAMS_PER_REPORT) {
      const part = streams.slice(index, index + MAX_STREAMS_PER_REPORT)
      const message = { type: 'originNews' as const, streams: part.map(({ requestId, origin, expiresAtMs }) => ({ requestId, origin, validForMs: Math.max(0, Math.round(expiresAtMs - clock.nowMs())) })) }
      const answer = await transport.request<'originNewsAnswer'>(peer, message, TELL_TIMEOUT_MS)
      if (answer.isErr) return this.handleFailure(peer, answer.error)
    }
  }

  private handleFailure (peer: string, error: PeerError): void {
    if (error !== 'closed') return
    this.pausedUntilMs.set(peer, this.options.clock.nowMs() + PEER_PAUSE_MS)
    this.options.log.recordStateChange('peer gets no origins', { peer, pauseMs: PEER_PAUSE_MS })
  }

  private listPeers (requestId: string): string[] {
    const nowMs = this.options.clock.nowMs()
    return this.ranking.rank(requestId).filter(peer => (this.pausedUntilMs.get(peer) ?? -Infinity) <= nowMs)
  }
}

/** Returns the only origin that instances observed, if one of them observed the whole period. */
function findOnlyOrigin (observed: readonly ObservedOrigins[]): StreamOrigin | undefined {
  if (!observed.some(({ isComplete }) => isComplete)) return undefined
  const origins = new Map(observed.flatMap(({ origins }) => origins.map(origin => [formatOriginKey(origin), origin])))
  return origins.size === 1 ? [...origins.values()][0] : undefined
}

/** Computes the time in which a caller may resume a stream; the caller may have more time than the route. */
function computeLifetimeMs ({ timeoutMs }: RelayRoute, callerRemainingMs = 0): number {
  return Math.round(Math.max(MIN_LIFETIME_MS, timeoutMs, callerRemainingMs))
}

function listServices ({ services }: RelayRoute): string[] {
  return services.map(({ service }) => service)
}
