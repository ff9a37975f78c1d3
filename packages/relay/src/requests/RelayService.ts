import { BufferBudget, type Random } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type KeyHolder, type RelayRoute, type ServiceProfile, type RouteKind, type WeightedService } from '../model/RelayConfiguration.js'
import { type RouteError, type RouteTable } from '../model/RouteTable.js'
import { intersectRegions } from '../places/intersectRegions.js'
import { computeConfirmationEndMs, type ConfirmationLimits } from '../published/ViewConfirmation.js'
import { type StreamOrigin } from '../versions/StreamOrigin.js'
import { type DrainSubject } from '../drain/DrainAdmission.js'
import { type CrashSubject } from '../crashes/CrashSubject.js'
import { type AnswerSink } from './AnswerSink.js'
import { HeldBackSink } from './HeldBackSink.js'
import { refuseRequest } from './refuseRequest.js'
import { EVICTION_REASON, type RelayContext, STOP_REASON } from './RelayContext.js'
import { type RefusalReason, type RelayRequest } from './RelayRequest.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { runRelayedCall } from './runRelayedCall.js'
import { runRelayedStream } from './runRelayedStream.js'

/** Options of a relay service. */
export interface RelayServiceOptions {
  readonly dependencies: RelayDependencies
  /** Returns the routes in force; undefined before the first configuration. */
  readonly getRoutes: () => RouteTable | undefined
  /** Returns the length of a process pause that has just ended, in milliseconds; requests read now may have waited that long. */
  readonly getPauseMs: () => number
  /** Returns whether the store may contain changes that this process has not received. */
  readonly isViewStale: () => boolean
  /** Returns whether the configuration in force is the latest one that was published shortly before; asks the store if need be. By default, it is. */
  readonly confirmView?: (limits: ConfirmationLimits) => Promise<boolean>
}

/** Route of a request, and the workspace of its key where the route needs one. */
interface RouteMatch {
  readonly routes: RouteTable
  readonly route: RelayRoute
  readonly keyHolder?: KeyHolder
}

/** Reason for which a request has no route or workspace; `route` is the one that it would have had. */
interface RouteMismatch {
  readonly routes: RouteTable
  readonly route: RelayRoute
  readonly reason: RouteError | 'notConfirmed'
}

/** Service of a request. */
interface ServiceChoice {
  readonly service: ServiceProfile
  /** Origin of the stream that the caller resumes; absent for a new stream. */
  readonly origin?: StreamOrigin
}

/** Functions that run the requests of each kind of route. */
const RUNNERS: Record<RouteKind, (dependencies: RelayDependencies, context: RelayContext) => Promise<void>> = {
  idempotent: runRelayedCall,
  once: runRelayedCall,
  stream: runRelayedStream
}

/** Priority of requests when neither the workspace nor the route has one. */
const LOWEST_PRIORITY = 9

/** Route under which refusals before routing are counted. */
const UNROUTED: RelayRoute = {
  name: 'none', host: '', prefix: '/', kind: 'once', timeoutMs: 1000, objectiveMs: 1000, priority: LOWEST_PRIORITY, services: [], maxAttempts: 0, isPublic: false, isResumable: false
}

/** Maximum time to wait for the first configuration, in milliseconds, and as a share of the caller's remaining time. */
const MAX_START_WAIT_MS = 2000
const START_WAIT_SHARE = 0.6

/** Number of bytes of all answers that are held back at most. */
const MAX_HELD_BACK_BYTES = 8 * 1024 * 1024

/** Interval at which a request checks for the first configuration, in milliseconds. */
const START_CHECK_INTERVAL_MS = 25

/** Maximum time to wait for a current view after a pause, and interval of the check, in milliseconds. */
const MAX_VIEW_WAIT_MS = 300
const VIEW_CHECK_INTERVAL_MS = 20

/** Serves requests: finds their route and workspace, limits their time, and runs them. */
export class RelayService {
  /**
   * Creates a service.
   * @param options - Options of the service.
   */
  static create (options: RelayServiceOptions): RelayService {
    return new RelayService(options)
  }

  private runningCount = 0
  private readonly heldBackBudget = BufferBudget.create({ maxBytes: MAX_HELD_BACK_BYTES })
  /** Aborted when the process stops. */
  private readonly stopController = new AbortController()
  /** Functions that end the requests in progress for a reason, by the sinks of their answers. */
  private readonly endFunctions = new Map<AnswerSink, (reason: string) => void>()
  /** Sinks of the requests for which the process has no memory. */
  private readonly evictedSinks = new WeakSet<AnswerSink>()

  /** @internal */
  private constructor (private readonly options: RelayServiceOptions) {}

  /** Counts the requests in progress. */
  countRunning (): number {
    return this.runningCount
  }

  /** Ends all requests in progress, and those that arrive later: what has not begun to be answered gets a final answer, and the rest is broken off. */
  stop (): void {
    this.stopController.abort(STOP_REASON)
    for (const end of this.endFunctions.values()) end(STOP_REASON)
  }

  /** Ends requests as `stop` does, except for those whose callers have not read what was written: the rest of such an answer may be complete at its target. */
  stopExceptSlowReaders (): void {
    this.stopController.abort(STOP_REASON)
    for (const [sink, end] of this.endFunctions) if (!sink.isWaitingForCaller()) end(STOP_REASON)
  }

  /**
   * Ends one request, for which the process has no memory: it is refused if no target has got it, and broken off otherwise.
   * @param sink - Destination of its answer.
   */
  evictRequest (sink: AnswerSink): void {
    this.evictedSinks.add(sink)
    this.endFunctions.get(sink)?.(EVICTION_REASON)
  }

  /**
   * Serves one request until it is answered.
   * @param request - The complete request.
   * @param sink - Destination of the answer.
   */
  async serve (request: RelayRequest, sink: AnswerSink): Promise<void> {
    this.runningCount++
    try {
      await this.route(request, sink)
    } finally {
      this.runningCount--
    }
  }

  private async route (request: RelayRequest, sink: AnswerSink): Promise<void> {
    const pauseMs = await this.waitAfterPause(request, sink)
    const initialRoutes = this.options.getRoutes() ?? await this.waitForRoutes(request, sink)
    if (initialRoutes === undefined) return this.refuse(request, sink, undefined, UNROUTED, this.hasStopped() ? 'stopping' : 'notConfigured')
    const match = await this.findConfirmedRoute(request, initialRoutes, sink)
    if (match.isErr) return this.refuse(request, sink, match.error.routes, match.error.route, match.error.reason)
    const { routes, route, keyHolder } = match.value
    const choice = await this.findService(request, routes, route)
    if (choice.isErr) return this.refuse(request, sink, routes, route, choice.error)
    const { service, origin } = choice.value
    const workspace = keyHolder?.workspace
    const refusalReason = this.findRefusalReason({ request, workspace }, route, service, pauseMs)
    if (refusalReason !== undefined) return this.refuse(request, sink, routes, route, refusalReason, workspace)
    const priority = keyHolder?.priority ?? route.priority
    const allowedRegions = intersectRegions(route.allowedRegions, keyHolder?.allowedRegions)
    await this.run({ request, sink, configuration: routes.configuration, route, service, origin, allowedRegions, workspace, priority })
  }

  /**
   * Waits after a process pause until the view is current again, because published keys may have changed during the pause. In the
   * meantime, callers that disconnected during the pause are detected.
   * @returns The length of the pause in milliseconds; 0 when there was none.
   */
  private async waitAfterPause (request: RelayRequest, sink: AnswerSink): Promise<number> {
    const { dependencies: { clock, log }, isViewStale, getPauseMs } = this.options
    const pauseMs = getPauseMs()
    if (pauseMs === 0) return 0
    const startedAtMs = clock.nowMs()
    await this.waitWhile(isViewStale, { waitEndMs: startedAtMs + MAX_VIEW_WAIT_MS, checkIntervalMs: VIEW_CHECK_INTERVAL_MS, sink })
    log.recordDecision(request.id, 'read after a pause', { pauseMs: Math.round(pauseMs), waitedMs: Math.round(clock.nowMs() - startedAtMs) })
    return pauseMs
  }

  /** Finds the route of a request; one that is missing here may have been published since, which is confirmed before it is called unknown. */
  private async findConfirmedRoute (request: RelayRequest, initialRoutes: RouteTable, sink: AnswerSink): Promise<Result<RouteMatch, RouteMismatch>> {
    const first = findRoute(initialRoutes, request)
    if (first.isOk) return first
    const { dependencies: { clock, log } } = this.options
    const startedAtMs = clock.nowMs()
    const match = await this.lookUpAgain(first.error, request, sink)
    const reason = match.isOk ? 'found' : match.error.reason
    log.recordDecision(request.id, 'route or key looked up again', { before: first.error.reason, reason, waitedMs: Math.round(clock.nowMs() - startedAtMs), versionBefore: initialRoutes.configuration.version, version: (match.isOk ? match.value : match.error).routes.configuration.version })
    return match
  }

  /** Looks up the route of a request in each configuration that comes in force, until the latest one is confirmed. */
  private async lookUpAgain (mismatch: RouteMismatch, request: RelayRequest, sink: AnswerSink): Promise<Result<RouteMatch, RouteMismatch>> {
    const { confirmView = async () => true, dependencies: { clock }, getRoutes } = this.options
    const { routes } = mismatch
    const endAtMs = computeConfirmationEndMs(clock.nowMs(), request)
    const isConfirmed = await confirmView({ endAtMs, signal: this.createWaitSignal(sink), isOutdated: () => getRoutes() !== routes })
    const latest = getRoutes()
    if (latest === undefined || latest === routes) return Result.err(isConfirmed ? mismatch : { ...mismatch, reason: 'notConfirmed' })
    const match = findRoute(latest, request)
    return match.isOk ? match : await this.lookUpAgain(match.error, request, sink)
  }

  /** Picks a service for a new request, or returns the one that began the stream that a caller resumes, if the route still has it. */
  private async findService (request: RelayRequest, { configuration }: RouteTable, route: RelayRoute): Promise<Result<ServiceChoice, RefusalReason>> {
    const { origins, random } = this.options.dependencies
    const mustContinue = isResumed(request, route)
    const origin = mustContinue ? await origins.findOrigin({ route, requestId: request.resumedId, currentId: request.id, deadlineAtMs: computeDeadlineMs(request, route), callerRemainingMs: request.remainingMs }) : undefined
    if (mustContinue && origin === undefined) return Result.err('unknownOrigin')
    const name = origin === undefined ? pickService(route.services, random) : route.services.find(({ service }) => service === origin.service)?.service
    const service = configuration.services.get(name ?? '')
    return service === undefined ? Result.err('noTarget') : Result.ok({ service, origin })
  }

  /** Returns the reason for which this process cannot serve a routed request now. */
  private findRefusalReason (subject: CrashSubject, route: RelayRoute, service: ServiceProfile, pauseMs: number): RefusalReason | undefined {
    const { dependencies } = this.options
    const { request } = subject
    if (!dependencies.drain.maySend({ request, route, service, deadlineAtMs: computeDeadlineMs(request, route) })) return 'stopping'
    if (dependencies.crashes.mustRefuse(subject)) return 'crashesEngines'
    // It may have waited for the answers before it on its connection.
    if (computeDeadlineMs(request, route) <= dependencies.clock.nowMs()) return 'timeoutNotRun'
    return route.kind === 'once' && this.canHaveTimedOut(request, route, pauseMs) ? 'timeoutNotRun' : undefined
  }

  /** Returns whether a request has timed out if it arrived at the start of the pause after which it was read. */
  private canHaveTimedOut ({ receivedAtMs, remainingMs = Infinity }: RelayRequest, { timeoutMs }: RelayRoute, pauseMs: number): boolean {
    return pauseMs > 0 && receivedAtMs - pauseMs + Math.min(remainingMs, timeoutMs) <= this.options.dependencies.clock.nowMs()
  }

  /** Waits for the first configuration, which arrives shortly after the start unless the store and all peers are unreachable. */
  private async waitForRoutes (request: RelayRequest, sink: AnswerSink): Promise<RouteTable | undefined> {
    const { dependencies: { clock, log }, getRoutes } = this.options
    const maxMs = Math.min(MAX_START_WAIT_MS, (request.remainingMs ?? MAX_START_WAIT_MS) * START_WAIT_SHARE)
    await this.waitWhile(() => getRoutes() === undefined, { waitEndMs: request.receivedAtMs + maxMs, checkIntervalMs: START_CHECK_INTERVAL_MS, sink })
    const routes = getRoutes()
    log.recordDecision(request.id, 'waited for a configuration', { version: routes?.configuration.version, waitedMs: Math.round(clock.nowMs() - request.receivedAtMs) })
    return routes
  }

  /** Waits until the condition is false, the end time is reached, or the caller has left. */
  private async waitWhile (condition: () => boolean, { waitEndMs, checkIntervalMs, sink }: { waitEndMs: number, checkIntervalMs: number, sink: AnswerSink }): Promise<void> {
    const { clock } = this.options.dependencies
    while (condition() && clock.nowMs() < waitEndMs && !sink.callerSignal.aborted && !this.hasStopped()) await clock.sleep(checkIntervalMs)
  }

  private hasStopped (): boolean {
    return this.stopController.signal.aborted
  }

  /** Creates a signal that is aborted when the caller leaves or the process stops. */
  private createWaitSignal ({ callerSignal }: AnswerSink): AbortSignal {
    return AbortSignal.any([callerSignal, this.stopController.signal])
  }

  /** Creates a sink that holds the answer back where this process could otherwise end with a part of it passed on; undefined elsewhere. */
  private createHeldBackSink (subject: DrainSubject, sink: AnswerSink): HeldBackSink | undefined {
    return this.options.dependencies.drain.shouldHoldBack(subject) ? HeldBackSink.create({ sink, budget: this.heldBackBudget }) : undefined
  }

  private async run (partialContext: Omit<RelayContext, 'deadlineAtMs' | 'signal'>): Promise<void> {
    const { clock } = this.options.dependencies
    const { request, route, service, sink } = partialContext
    const deadlineAtMs = computeDeadlineMs(request, route)
    const heldBack = this.createHeldBackSink({ request, route, service, deadlineAtMs }, sink)
    const endController = new AbortController()
    const end = (): void => endController.abort()
    const endFor = (reason: string): void => endController.abort(reason)
    const cancelTimer = clock.startTimer(Math.max(0, deadlineAtMs - clock.nowMs()), end)
    sink.callerSignal.addEventListener('abort', end)
    this.endFunctions.set(sink, endFor)
    if (sink.callerSignal.aborted) end()
    else if (this.hasStopped()) endFor(STOP_REASON)
    else if (this.evictedSinks.has(sink)) endFor(EVICTION_REASON)
    try {
      await RUNNERS[route.kind](this.options.dependencies, { ...partialContext, sink: heldBack ?? sink, deadlineAtMs, signal: endController.signal })
    } finally {
      heldBack?.close()
      cancelTimer()
      sink.callerSignal.removeEventListener('abort', end)
      this.endFunctions.delete(sink)
    }
  }

  private refuse (request: RelayRequest, sink: AnswerSink, routes: RouteTable | undefined, route: RelayRoute, reason: RefusalReason, workspace?: string): void {
    const { dependencies } = this.options
    const configuration = routes?.configuration ?? { version: 0, routes: [], services: new Map<string, ServiceProfile>(), limits: NO_LIMITS }
    const service: ServiceProfile = { name: 'none' }
    const deadlineAtMs = request.receivedAtMs + (request.remainingMs ?? route.timeoutMs)
    refuseRequest(dependencies, { request, workspace, sink, configuration, route, service, priority: LOWEST_PRIORITY, deadlineAtMs, signal: sink.callerSignal }, reason)
  }
}

function findRoute (routes: RouteTable, { host, path: target, key = '' }: RelayRequest): Result<RouteMatch, RouteMismatch> {
  const [path = ''] = target.split('?')
  const route = routes.findRoute(host, path).unwrapOr(undefined)
  if (route === undefined) return Result.err({ routes, route: UNROUTED, reason: 'noRoute' })
  if (!routes.requiresKey(route)) return Result.ok({ routes, route })
  const keyHolder = routes.findKeyHolder(key).unwrapOr(undefined)
  return keyHolder === undefined ? Result.err({ routes, route, reason: 'unknownKey' }) : Result.ok({ routes, route, keyHolder })
}

/** Returns whether a caller resumes a stream of which it has received events. */
function isResumed ({ lastEventId, resumedId }: RelayRequest, { kind }: RelayRoute): boolean {
  return kind === 'stream' && (lastEventId !== undefined || resumedId !== undefined)
}

function computeDeadlineMs ({ receivedAtMs, remainingMs = Infinity }: RelayRequest, { timeoutMs }: RelayRoute): number {
  return receivedAtMs + Math.min(remainingMs, timeoutMs)
}

const NO_LIMITS = { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 }

/** Picks a service at random according to the weights. */
function pickService (services: readonly WeightedService[], random: Random): string {
  const totalWeight = services.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = random.nextFloat() * totalWeight
  for (const { service, weight } of services) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  return services.at(-1)?.service ?? ''
}
