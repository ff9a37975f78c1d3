/** What may be repeated of a route's requests, and how their answers come. */
export type RouteKind = 'idempotent' | 'once' | 'stream'

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** A route in force: which requests it takes and what may be done with them. */
export interface RelayRoute {
  readonly name: string
  readonly host: string
  /** Beginning of the paths that it takes; it starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time in milliseconds within which an answer, or the first event of a stream, is of full use. */
  readonly objectiveMs: number
  /** Rank of its requests, 0 the highest. */
  readonly priority: number
  readonly services: readonly WeightedService[]
  /** Most targets on which one request may run. */
  readonly maxAttempts: number
  /** Whether requests need no key. */
  readonly isPublic: boolean
  /** Whether an interrupted stream may be continued by another run. */
  readonly isResumable: boolean
  /** Longest pause between events of a stream that is still on time, in milliseconds. */
  readonly maxGapMs?: number
}

/** What the engines of a service can do. */
export interface EngineProfile {
  /** Requests that one engine runs at once. */
  readonly slots: number
  readonly memoryTokens: number
  readonly linkMbps: number
  readonly tokenBytes: number
  /** Tokens of one event. */
  readonly tokensPerEvent: number
  readonly canMove: boolean
}

/** A service in force. */
export interface ServiceProfile {
  readonly name: string
  /** Present where the targets are model engines. */
  readonly engine?: EngineProfile
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** The workspace that holds a key. */
export interface KeyHolder {
  readonly workspace: string
  /** Rank of its requests, 0 the highest; it goes before the route's. */
  readonly priority?: number
}

/** All that operators have published, as of one version. A request keeps the one that it started with. */
export interface RelayConfiguration {
  readonly version: number
  readonly routes: readonly RelayRoute[]
  readonly services: ReadonlyMap<string, ServiceProfile>
  readonly limits: CallerLimits
  /** Absent where requests carry no keys. */
  readonly keys?: ReadonlyMap<string, KeyHolder>
}
