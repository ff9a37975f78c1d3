import { type CancelTimer, type Clock } from '@fescuespoke/common'
import { createValidator, type GenerationSpec, type Order } from '@fescuespoke/schema'
import { type Exchange, FaultInjectingHttpServer, type Route } from '../http/FaultInjectingHttpServer.js'
import { parseBody } from '../http/parseBody.js'
import { parseQueryInteger } from '../http/parseQueryInteger.js'
import { type EngineCore } from './EngineCore.js'
import { GenerationStreamer } from './GenerationStreamer.js'

/** Options of an engine server. */
export interface EngineServerOptions {
  readonly core: EngineCore
  /** Clock for connection stalls and the reclaim notice. */
  readonly clock: Clock
}

const validateSpec = createValidator<GenerationSpec>('platform', 'GenerationSpec')
const validateOrder = createValidator<Order>('platform', 'Order')

const GENERATION_PATH = /^\/v1\/generations\/([^/]+)$/

/** Serves an engine over HTTP. */
export class EngineServer {
  /**
   * Creates a listening server.
   * @param options - Options of the server.
   */
  static async create (options: EngineServerOptions): Promise<EngineServer> {
    const { core, clock } = options
    const server: EngineServer = new EngineServer(core, clock, await FaultInjectingHttpServer.create({
      clock,
      routes: createRoutes(() => server.core)
    }))
    return server
  }

  private cancelReclaim: CancelTimer | undefined

  /** @internal */
  private constructor (private currentCore: EngineCore, private readonly clock: Clock, readonly httpServer: FaultInjectingHttpServer) {}

  /** The current engine; a restart replaces it. */
  get core (): EngineCore {
    return this.currentCore
  }

  /** Base URL. */
  get url (): string {
    return this.httpServer.url
  }

  /** Permanently stops responding on the current connections; new connections work. */
  freezeConnections (): void {
    this.httpServer.freezeConnections()
  }

  /**
   * Stops responding on the current connections for a limited time.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.httpServer.stall(durationMs)
  }

  /** Stops the engine, closes the port and destroys all connections. */
  kill (): void {
    this.cancelReclaim?.()
    this.core.kill()
    this.httpServer.kill()
  }

  /**
   * Announces that the engine is leaving and kills it after the notice period.
   * @param noticeMs - Duration of the notice period in milliseconds.
   */
  reclaim (noticeMs: number): void {
    this.core.setLeaving()
    this.cancelReclaim?.()
    this.cancelReclaim = this.clock.startTimer(noticeMs, () => this.kill())
  }

  /**
   * Kills the current engine and listens again at the same URL with a new engine that has none of its state.
   * @param core - New engine.
   */
  async restart (core: EngineCore): Promise<void> {
    this.kill()
    this.currentCore = core
    await this.httpServer.acceptConnections()
  }

  /** Stops the engine and closes the port and all connections. */
  async close (): Promise<void> {
    this.cancelReclaim?.()
    this.core.kill()
    await this.httpServer.close()
  }
}

function createRoutes (getCore: () => EngineCore): Route[] {
  return [
    { method: 'PUT', path: GENERATION_PATH, handle: exchange => handlePutGeneration(getCore(), exchange) },
    { method: 'GET', path: GENERATION_PATH, handle: exchange => handleGetGeneration(getCore(), exchange) },
    { method: 'DELETE', path: GENERATION_PATH, handle: exchange => handleDeleteGeneration(getCore(), exchange) },
    { method: 'GET', path: /^\/v1\/generations$/, handle: exchange => exchange.respond(200, getCore().listGenerations()) },
    { method: 'GET', path: /^\/v1\/state$/, handle: exchange => exchange.respond(200, getCore().getState()) },
    { method: 'GET', path: /^\/v1\/cache-events$/, handle: exchange => handleCacheEvents(getCore(), exchange) },
    { method: 'POST', path: /^\/v1\/orders$/, handle: exchange => handleOrder(getCore(), exchange) }
  ]
}

function handlePutGeneration (core: EngineCore, exchange: Exchange): void {
  const spec = parseBody(exchange.body, validateSpec)
  if (spec.isErr) return exchange.respond(400, { error: spec.error })
  const id = exchange.parameters[0] as string
  const startResult = core.startGeneration(id, spec.value)
  if (startResult.isErr) return exchange.respond(startResult.error.status, { error: startResult.error.error })
  GenerationStreamer.create({ core, exchange, id, offset: parseQueryInteger(exchange.query, 'offset', 0) })
}

function handleGetGeneration (core: EngineCore, exchange: Exchange): void {
  const id = exchange.parameters[0] as string
  if (!core.hasGeneration(id)) return exchange.respond(404, { error: 'notFound' })
  GenerationStreamer.create({ core, exchange, id, offset: parseQueryInteger(exchange.query, 'offset', 0) })
}

function handleDeleteGeneration (core: EngineCore, exchange: Exchange): void {
  const isFound = core.cancel(exchange.parameters[0] as string)
  exchange.respond(isFound ? 204 : 404)
}

function handleCacheEvents (core: EngineCore, exchange: Exchange): void {
  exchange.respond(200, { events: core.listCacheEvents(parseQueryInteger(exchange.query, 'after', 0)) })
}

function handleOrder (core: EngineCore, exchange: Exchange): void {
  const order = parseBody(exchange.body, validateOrder)
  if (order.isErr) return exchange.respond(400, { error: order.error })
  const orderAnswer = core.applyOrder(order.value)
  exchange.respond(orderAnswer.accepted ? 200 : 409, orderAnswer)
}
