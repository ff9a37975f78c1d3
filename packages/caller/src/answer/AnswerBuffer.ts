import { type Delivery, type StreamEvent } from '@fescuespoke/schema'
import { type StreamAction } from '../http/InstanceClient.js'
import { type AnswerResult, type Reply } from './AnswerResult.js'

type EventOf<T extends StreamEvent['type']> = Extract<StreamEvent, { type: T }>

type EventHandlers = { readonly [T in StreamEvent['type']]: (event: EventOf<T>) => StreamAction }

/** Collects the tokens of one generation from one or more streams, without duplicates and in order. */
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
  private hasDelivered = false
  private request?: string
  private pendingReaders: Array<() => void> = []

  private readonly eventHandlers: EventHandlers = {
    accepted: event => this.handleAccepted(event),
    generation: event => this.handleGeneration(event),
    tokens: event => this.handleTokens(event),
    reply: event => this.handleReply(event),
    heartbeat: () => 'continue',
    handover: () => ({ type: 'abandoned', cause: 'handover', detail: 'the owner handed its generations over' }),
    end: () => 'continue'
  }

  /** @internal */
  private constructor () {}

  /**
   * Handles an event of any stream of this request. Tokens that are already buffered are dropped.
   * @param event - The event.
   */
  handleEvent (event: StreamEvent): StreamAction {
    const handle = this.eventHandlers[event.type] as (event: StreamEvent) => StreamAction
    return handle(event)
  }

  /** Returns the number of buffered tokens. */
  getOffset (): number {
    return this.tokens.length
  }

  /** Returns the resume token of the current generation, or undefined if no generation has been announced. */
  getResumeToken (): string | undefined {
    return this.resumeToken
  }

  /** Returns the reply of a plain service, or undefined if none has arrived. */
  getReply (): Reply | undefined {
    return this.reply
  }

  /** Returns the buffered tokens. */
  getTokens (): readonly string[] {
    return this.tokens
  }

  /** Returns whether a token has been delivered to the application. */
  hasDeliveredTokens (): boolean {
    return this.hasDelivered
  }

  /** Returns the id under which operators find the request, or undefined until an owner has accepted it. */
  getRequest (): string | undefined {
    return this.request
  }

  /** Discards the tokens and the resume token of a lost generation from which no token has been delivered. */
  discardGeneration (): void {
    this.tokens = []
    this.generation = undefined
    this.resumeToken = undefined
  }

  /**
   * Settles the answer and resumes the waiting readers.
   * @param result - Result of the request.
   */
  settle (result: AnswerResult): void {
    this.result = result
    this.notifyReaders()
  }

  /**
   * Waits for the token at an index and marks it as delivered. Returns undefined if the answer ends before that token.
   * @param index - Index of the token.
   */
  async readToken (index: number): Promise<string | undefined> {
    while (!this.canReadToken(index) && this.result === undefined) {
      await new Promise<void>(resolve => { this.pendingReaders.push(resolve) })
    }
    if (!this.canReadToken(index)) return undefined
    this.hasDelivered = true
    return this.tokens[index]
  }

  private canReadToken (index: number): boolean {
    const isReadable = this.delivery === 'stream' || this.result?.outcome === 'complete'
    return isReadable && index < this.tokens.length
  }

  private handleAccepted ({ request, delivery }: EventOf<'accepted'>): StreamAction {
    this.request = request
    this.delivery = delivery
    return 'continue'
  }

  private handleGeneration ({ generation, resumeToken }: EventOf<'generation'>): StreamAction {
    if (this.generation !== undefined && this.generation !== generation) {
      if (this.hasDelivered) return { type: 'abandoned', cause: 'spliced', detail: 'another generation began after tokens had been delivered' }
      this.tokens = []
    }
    this.generation = generation
    this.resumeToken = resumeToken
    return 'continue'
  }

  private handleTokens ({ generation, offset, tokens }: EventOf<'tokens'>): StreamAction {
    if (generation !== this.generation) return 'continue'
    if (offset > this.tokens.length) {
      return { type: 'abandoned', cause: 'gap', detail: `tokens ${this.tokens.length} to ${offset - 1} are missing` }
    }
    this.tokens.push(...tokens.slice(this.tokens.length - offset))
    this.notifyReaders()
    return 'continue'
  }

  private handleReply ({ status, body }: EventOf<'reply'>): StreamAction {
    this.reply = { status, body }
    return 'continue'
  }

  private notifyReaders (): void {
    const pendingReaders = this.pendingReaders
    this.pendingReaders = []
    for (const resolve of pendingReaders) resolve()
  }
}
