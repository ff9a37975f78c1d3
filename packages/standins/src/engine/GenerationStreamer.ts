import { type EngineEvent } from '@fescuespoke/schema'
import { type Exchange } from '../http/FaultInjectingHttpServer.js'
import { type EngineCore } from './EngineCore.js'

/** Options of a streamer. */
export interface GenerationStreamerOptions {
  readonly core: EngineCore
  readonly exchange: Exchange
  readonly id: string
  /** Number of tokens that the client already has. */
  readonly offset: number
}

/**
 * Streams a generation to an HTTP response as newline-delimited JSON. While the client does not read or its connection
 * is stalled, no events are buffered. Instead, the streamer unsubscribes and later subscribes again at the offset
 * that it has reached.
 */
export class GenerationStreamer {
  /**
   * Creates a streamer and starts it as soon as the connection is open.
   * @param options - Options of the streamer.
   */
  static create (options: GenerationStreamerOptions): GenerationStreamer {
    const streamer = new GenerationStreamer(options)
    options.exchange.gate.runWhenOpen(() => streamer.start())
    return streamer
  }

  private nextOffset: number
  private unsubscribe: (() => void) | undefined
  private isPaused = false
  private isEnded = false

  /** @internal */
  private constructor (private readonly options: GenerationStreamerOptions) {
    this.nextOffset = options.offset
  }

  private start (): void {
    const { response } = this.options.exchange
    if (response.destroyed) return
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.flushHeaders()
    response.on('close', () => this.stop())
    response.on('drain', () => this.resume())
    this.resume()
  }

  private stop (): void {
    this.isEnded = true
    this.unsubscribe?.()
  }

  private pause (): void {
    this.isPaused = true
    this.unsubscribe?.()
    this.unsubscribe = undefined
  }

  private resume (): void {
    if (this.isEnded) return
    this.pause()
    this.isPaused = false
    const { core, id, exchange } = this.options
    const subscribeResult = core.subscribe(id, this.nextOffset, event => this.handleEvent(event))
    if (subscribeResult.isNothing) {
      exchange.response.destroy()
      return
    }
    if (this.isPaused || this.isEnded) subscribeResult.value()
    else this.unsubscribe = subscribeResult.value
  }

  private handleEvent (event: EngineEvent): void {
    const { gate, response } = this.options.exchange
    if (this.isPaused || this.isEnded) return
    if (!gate.isOpen()) {
      this.pause()
      gate.runWhenOpen(() => this.resume())
      return
    }
    if (event.type === 'tokens') this.nextOffset = event.offset + event.tokens.length
    const canWriteMore = response.write(`${JSON.stringify(event)}\n`)
    if (event.type === 'end') {
      this.isEnded = true
      response.end()
    } else if (!canWriteMore) this.pause()
  }
}
