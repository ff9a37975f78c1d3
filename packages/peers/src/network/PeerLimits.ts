/** Limits of connections between instances. */
export interface PeerLimits {
  /** Maximum length of the content of a frame in bytes. */
  readonly maxFrameBytes: number
  /** Maximum number of bytes queued for one peer. A request that exceeds it fails immediately with `unreachable`. */
  readonly maxQueuedBytes: number
  /** Maximum number of concurrent requests per connection. Further requests are not read until one completes. */
  readonly maxConcurrentRequests: number
  /** Maximum number of incoming connections. */
  readonly maxConnections: number
  /** Maximum duration of the handshake of a new connection in milliseconds. */
  readonly handshakeTimeoutMs: number
  /** Interval in milliseconds between heartbeats on a connection without other traffic. */
  readonly heartbeatIntervalMs: number
  /** Time in milliseconds without received data after which a connection is closed. */
  readonly silenceTimeoutMs: number
  /** Maximum time in milliseconds from the first to the last byte of a frame. */
  readonly frameTimeoutMs: number
  /** Time in milliseconds without requests after which an outgoing connection is closed. */
  readonly idleTimeoutMs: number
  /** Delay in milliseconds before the first reconnect attempt. Doubles with each failure. */
  readonly minBackoffMs: number
  /** Maximum delay in milliseconds between reconnect attempts. */
  readonly maxBackoffMs: number
}

/** Defaults of the connection limits. */
export const DEFAULT_PEER_LIMITS: PeerLimits = {
  maxFrameBytes: 4 * 1024 * 1024,
  maxQueuedBytes: 8 * 1024 * 1024,
  maxConcurrentRequests: 256,
  maxConnections: 2048,
  handshakeTimeoutMs: 2000,
  heartbeatIntervalMs: 1000,
  silenceTimeoutMs: 3000,
  frameTimeoutMs: 10_000,
  idleTimeoutMs: 10_000,
  minBackoffMs: 100,
  maxBackoffMs: 3000
}
