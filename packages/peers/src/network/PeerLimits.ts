/** Bounds of connections between instances. */
export interface PeerLimits {
  /** Longest frame in bytes. */
  readonly maxFrameBytes: number
  /** Bytes that may wait to be sent to one peer; a request beyond it is `unreachable` at once. */
  readonly maxQueuedBytes: number
  /** Requests of one connection that are answered at once; more are not read until one has ended. */
  readonly maxConcurrentRequests: number
  /** Incoming connections at once. */
  readonly maxConnections: number
  /** Longest wait until a new connection has ended its handshake. */
  readonly handshakeTimeoutMs: number
  /** Interval of heartbeats on a connection without other traffic. */
  readonly heartbeatMs: number
  /** Silence after which a connection is given up. */
  readonly silenceMs: number
  /** Longest time from the first to the last byte of a frame. */
  readonly frameTimeoutMs: number
  /** Time without a request after which an outgoing connection is closed. */
  readonly idleMs: number
  /** Wait before the first attempt to reconnect; doubled with each failure. */
  readonly minBackoffMs: number
  /** Longest wait between attempts to reconnect. */
  readonly maxBackoffMs: number
}

/** Bounds that hold where an option is absent. */
export const DEFAULT_PEER_LIMITS: PeerLimits = {
  maxFrameBytes: 4 * 1024 * 1024,
  maxQueuedBytes: 8 * 1024 * 1024,
  maxConcurrentRequests: 256,
  maxConnections: 2048,
  handshakeTimeoutMs: 2000,
  heartbeatMs: 1000,
  silenceMs: 3000,
  frameTimeoutMs: 10_000,
  idleMs: 10_000,
  minBackoffMs: 100,
  maxBackoffMs: 3000
}
