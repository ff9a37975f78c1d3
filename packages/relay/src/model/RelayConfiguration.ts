/** Whether requests of a route may be repeated, and whether their answers are streams. */
export type RouteKind = 'idempotent' | 'once' | 'stream'

/** A service and its weight among the services of a route. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** A route in force: the requests that it matches and how they are handled. */
export interface RelayRoute {
  readonly name: string
  readonly host: string
  /** Path prefix that requests must have; it starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Maximum duration of a request, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective for an answer, or for the first event of a stream, in milliseconds. */
  readonly objectiveMs: number
  /** Priority of its requests; 0 is the highest. */
  readonly priority: number
  readonly services: readonly WeightedService[]
  /** Maximum number of targets on which one request may run. */
  readonly maxAttempts: number
  /** Whether requests need no API key. */
  readonly isPublic: boolean
  /** Whether another run may continue an interrupted stream. */
  readonly isResumable: boolean
  /** Longest gap between two events that is acceptable in a stream, in milliseconds. */
  readonly maxGapMs?: number
  /** Regions in which its requests may be served; absent when all are allowed. */
  readonly allowedRegions?: readonly string[]
}

/** Capabilities of the engines of a service. */
export interface EngineProfile {
  /** Maximum number of requests that one engine runs at the same time. */
  readonly slots: number
  readonly memoryTokens: number
  readonly linkMbps: number
  readonly tokenBytes: number
  /** Number of tokens in one event. */
  readonly tokensPerEvent: number
  readonly canMove: boolean
  /** Maximum lifetime of an unused reservation at an engine, in milliseconds; 0 or absent when engines grant none. */
  readonly maxHoldMs?: number
}

/** A service in force. */
export interface ServiceProfile {
  readonly name: string
  /** Present when the targets are model engines. */
  readonly engine?: EngineProfile
  /** Requests a second that a target takes from all instances together while it is cold; without it, there is no bound. */
  readonly coldRequestsPerSecond?: number
}

/** Limits on the requests that callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** The workspace to which an API key belongs. */
export interface KeyHolder {
  readonly workspace: string
  /** Priority of its requests, 0 the highest; it overrides the priority of the route. */
  readonly priority?: number
  /** Regions in which its requests may be served; absent when all are allowed. */
  readonly allowedRegions?: readonly string[]
}

/** One version of the whole published configuration. A request keeps the version with which it started. */
export interface RelayConfiguration {
  readonly version: number
  readonly routes: readonly RelayRoute[]
  readonly services: ReadonlyMap<string, ServiceProfile>
  readonly limits: CallerLimits
  /** Workspaces by API key; absent when requests carry no keys. */
  readonly keys?: ReadonlyMap<string, KeyHolder>
}
