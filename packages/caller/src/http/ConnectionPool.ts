import { Agent, type Dispatcher } from 'undici'

/** Time in milliseconds for which an idle connection is kept; the longer it is idle, the likelier it has fallen silent. */
const KEEP_ALIVE_TIMEOUT_MS = 1000

/** Makes a dispatcher with connections of its own. */
export type DispatcherFactory = () => Dispatcher

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  /** Makes the dispatchers; by default agents of undici. */
  readonly createDispatcher?: DispatcherFactory
  /** Longest wait for a connection in milliseconds, used by the default factory. */
  readonly connectTimeoutMs: number
}

/** Holds the connections in use and replaces all of them once one has failed, since idle ones may be silent too. */
export class ConnectionPool {
  /**
   * Creates a pool.
   * @param options - Options of the pool.
   */
  static create (options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  private readonly createDispatcher: DispatcherFactory
  private readonly closingDispatchers = new Set<Dispatcher>()
  private currentDispatcher: Dispatcher

  /** @internal */
  private constructor (options: ConnectionPoolOptions) {
    this.createDispatcher = options.createDispatcher ?? (() => createAgent(options.connectTimeoutMs))
    this.currentDispatcher = this.createDispatcher()
  }

  /** Gets the dispatcher for the next request. */
  getDispatcher (): Dispatcher {
    return this.currentDispatcher
  }

  /**
   * Replaces the connections, unless that was done since the dispatcher was taken. Requests on the old ones may finish.
   * @param failedDispatcher - Dispatcher whose connection failed.
   */
  replaceDispatcher (failedDispatcher: Dispatcher): void {
    if (failedDispatcher !== this.currentDispatcher) return
    this.currentDispatcher = this.createDispatcher()
    this.closingDispatchers.add(failedDispatcher)
    const removeDispatcher = (): void => { this.closingDispatchers.delete(failedDispatcher) }
    failedDispatcher.close().then(removeDispatcher, removeDispatcher)
  }

  /** Closes every connection at once. */
  async close (): Promise<void> {
    const dispatchers = [this.currentDispatcher, ...this.closingDispatchers]
    await Promise.allSettled(dispatchers.map(async dispatcher => await dispatcher.destroy()))
  }
}

function createAgent (connectTimeoutMs: number): Dispatcher {
  return new Agent({
    connect: { timeout: connectTimeoutMs },
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS
  })
}
