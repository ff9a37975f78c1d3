import { type Clock, type Service, type Snapshot } from '@fescuespoke/common'
import {
  type Delivery, type EndEvent, type Explanation, type GenerationEvent, type Outcome, type Priority, type ReplyEvent,
  type SubmitRequest
} from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { Notifier } from './Notifier.js'
import { TokenBuffer } from './TokenBuffer.js'

/** Progress of a request at its owner. */
export type RequestPhase = 'waiting' | 'dispatched' | 'ended'

/** Options of a request entry. */
export interface RequestEntryOptions {
  /** Public id of the request. */
  readonly id: string
  readonly workspace: string
  readonly body: SubmitRequest
  /** Digest of the body, which a repeated request must match. */
  readonly digest: string
  readonly service: Service
  readonly snapshot: Snapshot
  readonly priority: Priority
  readonly clock: Clock
  /** Reading of the clock at which the answer is of no more use. */
  readonly deadlineMs: number
}

/** How far one reader has read. */
export interface ReaderPosition {
  /** Offset of the next token that the reader takes. */
  offset: number
}

/** Number of steps that an explanation holds. */
const MAX_STEPS = 40

/** One request at its owner: its tokens or reply, its outcome, and those who wait for them. */
export class RequestEntry {
  /**
   * Creates an entry of a request that has not been dispatched.
   * @param options - Options of the entry.
   */
  static create (options: RequestEntryOptions): RequestEntry {
    return new RequestEntry(options)
  }

  /** Wakes readers and the generation's task at each change. */
  readonly changes = Notifier.create()
  readonly tokens = TokenBuffer.create()
  /** Ends the request's task when the caller cancels. */
  readonly cancellation = new AbortController()
  private readonly arrivalMs: number
  private readonly steps: Explanation['steps'] = []
  private phase: RequestPhase = 'waiting'
  private generation: GenerationEvent | undefined
  private reply: ReplyEvent | undefined
  private end: EndEvent | undefined
  private areTokensDelivered = false
  private hasOutcomeBeenRead = false
  private readonly readerPositions = new Set<ReaderPosition>()

  /** @internal */
  private constructor (public options: RequestEntryOptions) {
    this.arrivalMs = options.clock.nowMs()
  }

  /** Gets the progress of the request. */
  getPhase (): RequestPhase {
    return this.phase
  }

  /** Tells whether the request has an outcome. */
  isEnded (): boolean {
    return this.phase === 'ended'
  }

  /** Gets how the answer is delivered. */
  getDeliveryMode (): Delivery {
    return this.options.service.delivery
  }

  /** Gets the generation whose tokens are held. */
  getGeneration (): Maybe<GenerationEvent> {
    return Maybe.of(this.generation)
  }

  /** Gets the reply of a call. */
  getReply (): Maybe<ReplyEvent> {
    return Maybe.of(this.reply)
  }

  /** Gets the outcome. */
  getEnd (): Maybe<EndEvent> {
    return Maybe.of(this.end)
  }

  /** Gets the reading of the clock at which the request arrived, in milliseconds. */
  getArrivalMs (): number {
    return this.arrivalMs
  }

  /** Tells whether the deadline has passed. */
  isDeadlineExceeded (): boolean {
    return this.options.clock.nowMs() >= this.options.deadlineMs
  }

  /** Records that a byte of the request may leave for a target from now on. */
  setDispatched (): void {
    if (this.phase === 'ended') throw new Error(`request ${this.options.id} was dispatched after its end`)
    this.phase = 'dispatched'
  }

  /** Takes back {@link setDispatched} when it has turned out that nothing was sent. */
  clearDispatched (): void {
    if (this.phase === 'dispatched') this.phase = 'waiting'
  }

  /** Tells whether a byte of the request may have reached a target. */
  wasDispatched (): boolean {
    return this.phase === 'dispatched' || (this.end !== undefined && this.end.outcome !== 'notRun')
  }

  /**
   * Replaces the generation; possible only while no token of another one has been delivered.
   * @param generation - The generation that all following tokens belong to.
   */
  setGeneration (generation: GenerationEvent): void {
    if (this.areTokensDelivered) throw new Error(`request ${this.options.id} has delivered tokens of another generation`)
    this.generation = generation
    this.tokens.clear()
    this.changes.notifyAll()
  }

  /** Records that tokens have been handed to a reader, which fixes the generation. */
  recordTokenDelivery (): void {
    this.areTokensDelivered = true
  }

  /** Tells whether a reader has been handed any token. */
  hasDelivered (): boolean {
    return this.areTokensDelivered
  }

  /** Records that a reader has been handed the outcome. */
  recordOutcomeRead (): void {
    this.hasOutcomeBeenRead = true
  }

  /** Tells whether a reader has been handed the outcome. */
  wasOutcomeRead (): boolean {
    return this.hasOutcomeBeenRead
  }

  /**
   * Adds a reader and returns what removes it.
   * @param position - Where the reader is; it is kept up to date by the reader.
   */
  addReader (position: ReaderPosition): () => void {
    this.readerPositions.add(position)
    return () => { this.readerPositions.delete(position) }
  }

  /** Counts the tokens that the foremost reader has not taken; all that are held when there is none. */
  countUnreadTokens (): number {
    const highestReadOffset = Math.max(this.tokens.getFirstOffset(), ...[...this.readerPositions].map(({ offset }) => offset))
    return this.tokens.getEndOffset() - highestReadOffset
  }

  /**
   * Removes tokens that the foremost reader has taken, beyond a number that is kept for repeated reads.
   * @param retainedTokens - Number of tokens to keep.
   */
  pruneTokens (retainedTokens: number): void {
    this.tokens.pruneBefore(this.tokens.getEndOffset() - this.countUnreadTokens() - retainedTokens)
  }

  /** Waits until anything of the request changes or its cancellation. */
  async waitForChange (): Promise<void> {
    await this.changes.waitForChange({ signal: this.cancellation.signal })
  }

  /**
   * Adds tokens of the current generation.
   * @param offset - Offset of the first token.
   * @param tokens - The tokens.
   */
  addTokens (offset: number, tokens: readonly string[]): void {
    this.tokens.addTokens(offset, tokens)
    this.changes.notifyAll()
  }

  /**
   * Ends the request. An outcome stays, but an unknown one gives way to a late reply.
   * @param end - Outcome and reason.
   * @param reply - Reply of a call.
   */
  setEnd (end: Omit<EndEvent, 'type'>, reply?: ReplyEvent): void {
    if (this.end !== undefined && !canReplaceOutcome(this.end.outcome, end.outcome)) return
    this.end = { type: 'end', ...end }
    this.reply = reply
    this.phase = 'ended'
    this.recordStep('end', `${end.outcome}: ${end.reason}`)
    this.changes.notifyAll()
  }

  /** Drops the input and the tokens, which can then be read at the target only; the outcome and the reply stay. */
  dropAnswer (): void {
    this.options = { ...this.options, body: { service: this.options.service.name } }
    this.tokens.pruneBefore(this.tokens.getEndOffset())
  }

  /**
   * Records a step for the explanation of the request.
   * @param step - Short name of the step.
   * @param detail - What was decided and why.
   */
  recordStep (step: string, detail: string): void {
    if (this.steps.length >= MAX_STEPS) return
    this.steps.push({ atMs: Math.round(this.options.clock.nowMs() - this.arrivalMs), step, detail })
  }

  /** Gets why the request went where it went. */
  getExplanation (): Explanation {
    const { id, service, workspace, snapshot } = this.options
    return {
      request: id,
      service: service.name,
      workspace,
      revision: snapshot.revision,
      outcome: this.end?.outcome,
      reason: this.end?.reason,
      steps: this.steps
    }
  }
}

function canReplaceOutcome (current: Outcome, next: Outcome): boolean {
  return current === 'unknown' && next === 'complete'
}
