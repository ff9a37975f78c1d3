import { type CancelTimer, type Clock } from '@fescuespoke/common'
import { createValidator, type GenerationSpec, type Order } from '@fescuespoke/schema'
import { type Exchange, HttpHost, type Route } from '../http/HttpHost.js'
import { parseBody } from '../http/parseBody.js'
import { readNumber } from '../http/readNumber.js'
import { type EngineCore } from './EngineCore.js'
import { GenerationReader } from './GenerationReader.js'

/** Options of an engine's server. */
export interface EngineServerOptions {
  readonly core: EngineCore
  /** Times stalls of connections. */
  readonly clock: Clock
}

const checkSpec = createValidator<GenerationSpec>('platform', 'GenerationSpec')
const checkOrder = createValidator<Order>('platform', 'Order')

const GENERATION_PATH = /^\/v1\/generations\/([^/]+)$/

/** Serves an engine over HTTP. */
export class EngineServer {
  /**
   * Creates a server that is listening.
   * @param options - Options of the server.
   */
  static async create (options: EngineServerOptions): Promise<EngineServer> {
    const { core, clock } = options
    const server: EngineServer = new EngineServer(core, clock, await HttpHost.create({
      clock,
      routes: createRoutes(() => server.core)
    }))
    return server
  }

  private cancelReclaim: CancelTimer | undefined

  /** @internal */
  private constructor (private currentCore: EngineCore, private readonly clock: Clock, readonly host: HttpHost) {}

  /** The engine of now; a restart replaces it. */
  get core (): EngineCore {
    return this.currentCore
  }

  /** Base URL. */
  get url (): string {
    return this.host.url
  }

  /** Silences all present connections for good; later ones work. */
  freezeConnections (): void {
    this.host.freezeConnections()
  }

  /**
   * Silences all present connections for a while.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.host.stall(durationMs)
  }

  /** Stops the engine, closes the port and destroys all connections. */
  kill (): void {
    this.cancelReclaim?.()
    this.core.kill()
    this.host.kill()
  }

  /**
   * Announces that the engine is leaving and kills it after the notice.
   * @param noticeMs - Duration of the notice in milliseconds.
   */
  reclaim (noticeMs: number): void {
    this.core.setLeaving()
    this.cancelReclaim?.()
    this.cancelReclaim = this.clock.startTimer(noticeMs, () => this.kill())
  }

  /**
   * Listens again at the same URL after a kill, with an engine that knows nothing of the former one.
   * @param core - The new engine.
   */
  async restart (core: EngineCore): Promise<void> {
    this.kill()
    this.currentCore = core
    await this.host.acceptConnects()
  }

  /** Stops the engine and closes the port and all connections. */
  async close (): Promise<void> {
    this.cancelReclaim?.()
    this.core.kill()
    await this.host.close()
  }
}

function createRoutes (getCore: () => EngineCore): Route[] {
  return [
    { method: 'PUT', path: GENERATION_PATH, handle: exchange => handlePut(getCore(), exchange) },
    { method: 'GET', path: GENERATION_PATH, handle: exchange => handleGet(getCore(), exchange) },
    { method: 'DELETE', path: GENERATION_PATH, handle: exchange => handleDelete(getCore(), exchange) },
    { method: 'GET', path: /^\/v1\/generations$/, handle: exchange => exchange.answer(200, getCore().listGenerations()) },
    { method: 'GET', path: /^\/v1\/state$/, handle: exchange => exchange.answer(200, getCore().getState()) },
    { method: 'GET', path: /^\/v1\/cache-events$/, handle: exchange => handleCacheEvents(getCore(), exchange) },
    { method: 'POST', path: /^\/v1\/orders$/, handle: exchange => handleOrder(getCore(), exchange) }
  ]
}

function handlePut (core: EngineCore, exchange: Exchange): void {
  const spec = parseBody(exchange.body, checkSpec)
  if (spec.isErr) return exchange.answer(400, { error: spec.error })
  const id = exchange.parameters[0] as string
  const started = core.startGeneration(id, spec.value)
  if (started.isErr) return exchange.answer(started.error.status, { error: started.error.error })
  GenerationReader.create({ core, exchange, id, offset: readNumber(exchange.query, 'offset', 0) })
}

function handleGet (core: EngineCore, exchange: Exchange): void {
  const id = exchange.parameters[0] as string
  if (!core.hasGeneration(id)) return exchange.answer(404, { error: 'notFound' })
  GenerationReader.create({ core, exchange, id, offset: readNumber(exchange.query, 'offset', 0) })
}

function handleDelete (core: EngineCore, exchange: Exchange): void {
  const isKnown = core.cancel(exchange.parameters[0] as string)
  exchange.answer(isKnown ? 204 : 404)
}

function handleCacheEvents (core: EngineCore, exchange: Exchange): void {
  exchange.answer(200, { events: core.listCacheEvents(readNumber(exchange.query, 'after', 0)) })
}

function handleOrder (core: EngineCore, exchange: Exchange): void {
  const order = parseBody(exchange.body, checkOrder)
  if (order.isErr) return exchange.answer(400, { error: order.error })
  const answer = core.giveOrder(order.value)
  exchange.answer(answer.accepted ? 200 : 409, answer)
}
