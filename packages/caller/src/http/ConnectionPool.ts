import { Agent, type Dispatcher } from 'undici'

/**
 * Time in milliseconds after which an idle connection is closed. The longer a connection is idle, the more likely it is
 * dead without having been closed.
 */
const KEEP_ALIVE_TIMEOUT_MS = 1000

/** Creates a dispatcher with its own connections. */
export type DispatcherFactory = () => Dispatcher

/** Options of a connection pool. */
export interface ConnectionPoolOptions {
  /** Creates the dispatchers. Defaults to undici agents. */
  readonly createDispatcher?: DispatcherFactory
  /** Maximum time to wait for a connection, in milliseconds. Used by the default factory only. */
  readonly connectTimeoutMs: number
}

/**
 * Provides the current dispatcher and replaces it with all its connections once one has failed, because its idle
 * connections may be dead as well.
 */
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

  /** Returns the dispatcher for the next request. */
  getDispatcher (): Dispatcher {
    return this.currentDispatcher
  }

  /**
   * Replaces the current dispatcher, unless the failed one has already been replaced. Requests in progress on the
   * failed dispatcher may finish.
   * @param failedDispatcher - Dispatcher that had a failed connection.
   */
  replaceDispatcher (failedDispatcher: Dispatcher): void {
    if (failedDispatcher !== this.currentDispatcher) return
    this.currentDispatcher = this.createDispatcher()
    this.closingDispatchers.add(failedDispatcher)
    const removeDispatcher = (): void => { this.closingDispatchers.delete(failedDispatcher) }
    failedDispatcher.close().then(removeDispatcher, removeDispatcher)
  }

  /** Closes all connections immediately. */
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
