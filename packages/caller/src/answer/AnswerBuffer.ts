import { type Delivery, type StreamEvent } from '@fescuespoke/schema'
import { type StreamStep } from '../http/InstanceClient.js'
import { type AnswerResult, type Reply } from './AnswerResult.js'

const READ_ON: StreamStep = { next: 'read' }

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
  private spliced = false
  private accepted = false
  private waiting: Array<() => void> = []

  private readonly handlers: EventHandlers = {
    accepted: event => this.observeAccepted(event),
    generation: event => this.observeGeneration(event),
    tokens: event => this.observeTokens(event),
    reply: event => this.observeReply(event),
    heartbeat: () => READ_ON,
    handover: () => READ_ON,
    end: () => READ_ON
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

  /** Tells whether another generation turned up after the application had got a token. */
  isSpliced (): boolean {
    return this.spliced
  }

  /** Tells whether an owner has confirmed that it knows the request. */
  isAccepted (): boolean {
    return this.accepted
  }

  /** Removes what came from a lost generation of which nothing has been delivered. */
  restart (): void {
    this.tokens = []
    this.generation = undefined
    this.resumeToken = undefined
    this.accepted = false
  }

  /**
   * Settles the answer.
   * @param result - How the request ended.
   */
  settle (result: AnswerResult): void {
    this.result = result
    this.wakeReaders()
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

  private observeAccepted ({ delivery }: EventOf<'accepted'>): StreamStep {
    this.accepted = true
    this.delivery = delivery
    return READ_ON
  }

  private observeGeneration ({ generation, resumeToken }: EventOf<'generation'>): StreamStep {
    if (this.generation !== undefined && this.generation !== generation) {
      if (this.delivered) {
        this.spliced = true
        return { next: 'leave', detail: 'another generation followed delivered tokens' }
      }
      this.tokens = []
    }
    this.generation = generation
    this.resumeToken = resumeToken
    return READ_ON
  }

  private observeTokens ({ generation, offset, tokens }: EventOf<'tokens'>): StreamStep {
    if (generation !== this.generation) return READ_ON
    if (offset > this.tokens.length) return { next: 'leave', detail: `tokens ${this.tokens.length} to ${offset - 1} are missing` }
    this.tokens.push(...tokens.slice(this.tokens.length - offset))
    this.wakeReaders()
    return READ_ON
  }

  private observeReply ({ status, body }: EventOf<'reply'>): StreamStep {
    this.reply = { status, body }
    return READ_ON
  }

  private wakeReaders (): void {
    const waiting = this.waiting
    this.waiting = []
    for (const resolve of waiting) resolve()
  }
}
