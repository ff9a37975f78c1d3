import { type Random } from '@fescuespoke/common'
import { type KeyHolder, type RelayRoute, type ServiceProfile, type RouteKind, type WeightedService } from '../model/RelayConfiguration.js'
import { type RouteTable } from '../model/RouteTable.js'
import { refuseRequest } from './refuseRequest.js'
import { type RelayContext } from './RelayContext.js'
import { type AnswerSink, type RefusalReason, type RelayRequest } from './RelayRequest.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { runRelayedCall } from './runRelayedCall.js'
import { runRelayedStream } from './runRelayedStream.js'

/** Options of a relay service. */
export interface RelayServiceOptions {
  readonly dependencies: RelayDependencies
  /** Gets the routes in force; absent before the first configuration. */
  readonly getRoutes: () => RouteTable | undefined
  /** Gets the time in milliseconds for which this process can still serve; `Infinity` unless it stops. */
  readonly getTimeLeftMs: () => number
  /** Gets the length of a pause of the process that has just ended, in milliseconds; what is read now may have waited as long. */
  readonly getPauseMs: () => number
  /** Tells whether something may have been published that this process does not know. */
  readonly isViewStale: () => boolean
}

/** Runs the requests of each kind of route. */
const RUNNERS: Record<RouteKind, (dependencies: RelayDependencies, context: RelayContext) => Promise<void>> = {
  idempotent: runRelayedCall,
  once: runRelayedCall,
  stream: runRelayedStream
}

/** Priority of requests whose workspace and route have none. */
const LOWEST_PRIORITY = 9

/** Route that refusals before routing are counted under. */
const UNROUTED: RelayRoute = {
  name: 'none', host: '', prefix: '/', kind: 'once', timeoutMs: 1000, objectiveMs: 1000, priority: LOWEST_PRIORITY, services: [], maxAttempts: 0, isPublic: false, isResumable: false
}

/** Longest wait for the first configuration in milliseconds, and its share of the caller's time. */
const MAX_START_WAIT_MS = 2000
const START_WAIT_SHARE = 0.6

/** Interval at which a request looks for the first configuration, in milliseconds. */
const START_CHECK_INTERVAL_MS = 25

/** Longest wait after a pause until it is known again what is published, and interval of looking, in milliseconds. */
const MAX_VIEW_WAIT_MS = 300
const VIEW_CHECK_INTERVAL_MS = 20

/** Factor on the expected duration of a stream that a process which stops must still have. */
const DURATION_MARGIN = 1.3

/** Takes requests in: finds their route and workspace, bounds their time, and runs them. */
export class RelayService {
  /**
   * Creates a service.
   * @param options - Options of the service.
   */
  static create (options: RelayServiceOptions): RelayService {
    return new RelayService(options)
  }

  private runningCount = 0

  /** @internal */
  private constructor (private readonly options: RelayServiceOptions) {}

  /** Counts the requests in progress. */
  countRunning (): number {
    return this.runningCount
  }

  /**
   * Serves one request up to its final answer.
   * @param request - The request, read completely.
   * @param sink - Where its answer goes.
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
    const routes = this.options.getRoutes() ?? await this.waitForRoutes(request, sink)
    if (routes === undefined) return this.refuse(request, sink, undefined, UNROUTED, 'notConfigured')
    const [path = ''] = request.path.split('?')
    const route = routes.findRoute(request.host, path).unwrapOr(undefined)
    if (route === undefined) return this.refuse(request, sink, routes, UNROUTED, 'noRoute')
    const keyHolder = this.findKeyHolder(routes, route, request.key)
    if (keyHolder === 'unknownKey') return this.refuse(request, sink, routes, route, 'unknownKey')
    const service = routes.configuration.services.get(pickService(route.services, this.options.dependencies.random))
    if (service === undefined) return this.refuse(request, sink, routes, route, 'noTarget')
    const refusalReason = this.findRefusalReason(request, route, service, pauseMs)
    if (refusalReason !== undefined) return this.refuse(request, sink, routes, route, refusalReason)
    const priority = keyHolder?.priority ?? route.priority
    await this.run({ request, sink, configuration: routes.configuration, route, service, workspace: keyHolder?.workspace, priority })
  }

  /**
   * Waits until it is known again what is published, which may have changed while the process was paused. Callers that left
   * meanwhile are noticed.
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

  /** Finds why a request with a route and a service cannot be served by this process now. */
  private findRefusalReason (request: RelayRequest, route: RelayRoute, service: ServiceProfile, pauseMs: number): RefusalReason | undefined {
    const { getTimeLeftMs, dependencies } = this.options
    const neededMs = route.kind === 'stream' ? dependencies.generationTimes.estimateDurationMs(service.name, request.size) * DURATION_MARGIN : 0
    if (getTimeLeftMs() <= neededMs) return 'stopping'
    return route.kind === 'once' && this.canHaveTimedOut(request, route, pauseMs) ? 'timeoutNotRun' : undefined
  }

  /** Tells whether the time of a request is over if it came when the pause before it was read began. */
  private canHaveTimedOut ({ receivedAtMs, remainingMs = Infinity }: RelayRequest, { timeoutMs }: RelayRoute, pauseMs: number): boolean {
    return pauseMs > 0 && receivedAtMs - pauseMs + Math.min(remainingMs, timeoutMs) <= this.options.dependencies.clock.nowMs()
  }

  /** A process that has just started knows its routes in a moment, unless the store and all peers are away. */
  private async waitForRoutes (request: RelayRequest, sink: AnswerSink): Promise<RouteTable | undefined> {
    const { dependencies: { clock, log }, getRoutes } = this.options
    const maxMs = Math.min(MAX_START_WAIT_MS, (request.remainingMs ?? MAX_START_WAIT_MS) * START_WAIT_SHARE)
    await this.waitWhile(() => getRoutes() === undefined, { waitEndMs: request.receivedAtMs + maxMs, checkIntervalMs: START_CHECK_INTERVAL_MS, sink })
    const routes = getRoutes()
    log.recordDecision(request.id, 'waited for a configuration', { version: routes?.configuration.version, waitedMs: Math.round(clock.nowMs() - request.receivedAtMs) })
    return routes
  }

  /** Waits while something holds, until a reading of the clock, or until the caller has left. */
  private async waitWhile (condition: () => boolean, { waitEndMs, checkIntervalMs, sink }: { waitEndMs: number, checkIntervalMs: number, sink: AnswerSink }): Promise<void> {
    const { clock } = this.options.dependencies
    while (condition() && clock.nowMs() < waitEndMs && !sink.gone.aborted) await clock.sleep(checkIntervalMs)
  }

  private findKeyHolder (routes: RouteTable, route: RelayRoute, key = ''): KeyHolder | undefined | 'unknownKey' {
    return routes.requiresKey(route) ? routes.findKeyHolder(key).unwrapOr<KeyHolder | 'unknownKey'>('unknownKey') : undefined
  }

  private async run (partialContext: Omit<RelayContext, 'deadlineAtMs' | 'signal'>): Promise<void> {
    const { clock } = this.options.dependencies
    const { request, route, sink } = partialContext
    const deadlineAtMs = request.receivedAtMs + Math.min(request.remainingMs ?? Infinity, route.timeoutMs)
    const endController = new AbortController()
    const end = (): void => endController.abort()
    const cancelTimer = clock.startTimer(Math.max(0, deadlineAtMs - clock.nowMs()), end)
    sink.gone.addEventListener('abort', end)
    if (sink.gone.aborted) end()
    try {
      await RUNNERS[route.kind](this.options.dependencies, { ...partialContext, deadlineAtMs, signal: endController.signal })
    } finally {
      cancelTimer()
      sink.gone.removeEventListener('abort', end)
    }
  }

  private refuse (request: RelayRequest, sink: AnswerSink, routes: RouteTable | undefined, route: RelayRoute, reason: RefusalReason): void {
    const { dependencies } = this.options
    const configuration = routes?.configuration ?? { version: 0, routes: [], services: new Map<string, ServiceProfile>(), limits: NO_LIMITS }
    const service: ServiceProfile = { name: 'none' }
    const deadlineAtMs = dependencies.clock.nowMs() + (request.remainingMs ?? route.timeoutMs)
    refuseRequest(dependencies, { request, sink, configuration, route, service, priority: LOWEST_PRIORITY, deadlineAtMs, signal: sink.gone }, reason)
  }
}

const NO_LIMITS = { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 }

/** Picks a service by weight. */
function pickService (services: readonly WeightedService[], random: Random): string {
  const totalWeight = services.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = random.nextFloat() * totalWeight
  for (const { service, weight } of services) {
    remainingWeight -= weight
    if (remainingWeight < 0) return service
  }
  return services.at(-1)?.service ?? ''
}
