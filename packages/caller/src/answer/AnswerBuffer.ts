import { type Delivery, type StreamEvent } from '@fescuespoke/schema'
import { type StreamStep } from '../http/InstanceClient.js'
import { type AnswerResult, type Reply } from './AnswerResult.js'

type EventOf<T extends StreamEvent['type']> = Extract<StreamEvent, { type: T }>

type EventHandlers = { readonly [T in StreamEvent['type']]: (event: EventOf<T>) => StreamStep }

/** Collects the tokens of one generation, each once and in order, whatever streams bring them. */
export class AnswerBuffer {
  /** Creates an empty buffer. */
  static create (): AnswerBuffer {
    return new AnswerBuffer()
  }

  private tokens: string[] = []
  private generation?: string
  private resumeToken?: string
  private delivery: Delivery = 'whole'
  private reply?: Reply
  private result?: AnswerResult
  private delivered = false
  private request?: string
  private waiting: Array<() => void> = []

  private readonly handlers: EventHandlers = {
    accepted: event => this.observeAccepted(event),
    generation: event => this.observeGeneration(event),
    tokens: event => this.observeTokens(event),
    reply: event => this.observeReply(event),
    heartbeat: () => 'read',
    handover: () => ({ type: 'left', cause: 'handover', detail: 'the owner hands its generations over' }),
    end: () => 'read'
  }

  /** @internal */
  private constructor () {}

  /**
   * Observes an event of any stream of this request. Tokens that are held already are dropped.
   * @param event - The event.
   */
  observe (event: StreamEvent): StreamStep {
    const handle = this.handlers[event.type] as (event: StreamEvent) => StreamStep
    return handle(event)
  }

  /** Gets the number of tokens held. */
  getOffset (): number {
    return this.tokens.length
  }

  /** Gets the resume token of the present generation. */
  getResumeToken (): string | undefined {
    return this.resumeToken
  }

  /** Gets the reply of a plain service. */
  getReply (): Reply | undefined {
    return this.reply
  }

  /** Gets the tokens held. */
  getTokens (): readonly string[] {
    return this.tokens
  }

  /** Tells whether the application has got a token. */
  isDelivered (): boolean {
    return this.delivered
  }

  /** Gets the id of the request for operators, once an owner knows the request. */
  getRequest (): string | undefined {
    return this.request
  }

  /** Removes what came from a lost generation of which nothing has been delivered. */
  restart (): void {
    this.tokens = []
    this.generation = undefined
    this.resumeToken = undefined
  }

  /**
   * Settles the answer.
   * @param result - How the request ended.
   */
  settle (result: AnswerResult): void {
    this.result = result
    this.releaseReaders()
  }

  /**
   * Waits for the token at an index and takes it as delivered; undefined when the answer has ended before it.
   * @param index - Index of the token.
   */
  async takeToken (index: number): Promise<string | undefined> {
    while (!this.canRead(index) && this.result === undefined) {
      await new Promise<void>(resolve => { this.waiting.push(resolve) })
    }
    if (!this.canRead(index)) return undefined
    this.delivered = true
    return this.tokens[index]
  }

  private canRead (index: number): boolean {
    const isReleased = this.delivery === 'stream' || this.result?.outcome === 'complete'
    return isReleased && index < this.tokens.length
  }

  private observeAccepted ({ request, delivery }: EventOf<'accepted'>): StreamStep {
    this.request = request
    this.delivery = delivery
    return 'read'
  }

  private observeGeneration ({ generation, resumeToken }: EventOf<'generation'>): StreamStep {
    if (this.generation !== undefined && this.generation !== generation) {
      if (this.delivered) return { type: 'left', cause: 'spliced', detail: 'another generation followed delivered tokens' }
      this.tokens = []
    }
    this.generation = generation
    this.resumeToken = resumeToken
    return 'read'
  }

  private observeTokens ({ generation, offset, tokens }: EventOf<'tokens'>): StreamStep {
    if (generation !== this.generation) return 'read'
    if (offset > this.tokens.length) {
      return { type: 'left', cause: 'gap', detail: `tokens ${this.tokens.length} to ${offset - 1} are missing` }
    }
    this.tokens.push(...tokens.slice(this.tokens.length - offset))
    this.releaseReaders()
    return 'read'
  }

  private observeReply ({ status, body }: EventOf<'reply'>): StreamStep {
    this.reply = { status, body }
    return 'read'
  }

  private releaseReaders (): void {
    const waiting = this.waiting
    this.waiting = []
    for (const resolve of waiting) resolve()
  }
}
