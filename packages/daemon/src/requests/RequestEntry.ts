import { type Clock, type Service, type Snapshot } from '@fescuespoke/common'
import {
  type Delivery, type EndEvent, type Explanation, type GenerationEvent, type Outcome, type Priority, type ReplyEvent,
  type SubmitRequest
} from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { Notifier } from './Notifier.js'
import { TokenBuffer } from './TokenBuffer.js'

/** Phase of a request at its owner. */
export type RequestPhase = 'waiting' | 'dispatched' | 'ended'

/** Options of a request entry. */
export interface RequestEntryOptions {
  /** Public id of the request. */
  readonly id: string
  readonly workspace: string
  readonly body: SubmitRequest
  /** Digest of the body, which a repeated submission must match. */
  readonly digest: string
  readonly service: Service
  readonly snapshot: Snapshot
  readonly priority: Priority
  readonly clock: Clock
  /** Clock time of the deadline, in milliseconds. */
  readonly deadlineMs: number
}

/** Read position of one reader. */
export interface ReaderPosition {
  /** Offset of the next token to read. */
  offset: number
}

/** Maximum number of steps in an explanation. */
const MAX_STEPS = 40

/** State of one request at its owner: its tokens or reply, its outcome and its readers. */
export class RequestEntry {
  /**
   * Creates an entry for a request that has not been dispatched.
   * @param options - Options of the entry.
   */
  static create (options: RequestEntryOptions): RequestEntry {
    return new RequestEntry(options)
  }

  /** Notifies readers and the generation's task of every change. */
  readonly changes = Notifier.create()
  readonly tokens = TokenBuffer.create()
  /** Aborts the request's task when the caller cancels. */
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

  /** Returns the phase of the request. */
  getPhase (): RequestPhase {
    return this.phase
  }

  /** Returns whether the request has an outcome. */
  isEnded (): boolean {
    return this.phase === 'ended'
  }

  /** Returns whether the answer is streamed or delivered as a whole. */
  getDeliveryMode (): Delivery {
    return this.options.service.delivery
  }

  /** Returns the generation whose tokens are buffered. */
  getGeneration (): Maybe<GenerationEvent> {
    return Maybe.of(this.generation)
  }

  /** Returns the reply of a call. */
  getReply (): Maybe<ReplyEvent> {
    return Maybe.of(this.reply)
  }

  /** Returns the outcome. */
  getEnd (): Maybe<EndEvent> {
    return Maybe.of(this.end)
  }

  /** Returns the clock time at which the request arrived, in milliseconds. */
  getArrivalMs (): number {
    return this.arrivalMs
  }

  /** Returns whether the deadline has passed. */
  isDeadlineExceeded (): boolean {
    return this.options.clock.nowMs() >= this.options.deadlineMs
  }

  /** Records that bytes of the request may be sent to a target from now on. */
  setDispatched (): void {
    if (this.phase === 'ended') throw new Error(`request ${this.options.id} was dispatched after it ended`)
    this.phase = 'dispatched'
  }

  /** Reverts {@link setDispatched} after it is certain that nothing was sent. */
  clearDispatched (): void {
    if (this.phase === 'dispatched') this.phase = 'waiting'
  }

  /** Returns whether bytes of the request may have reached a target. */
  wasDispatched (): boolean {
    return this.phase === 'dispatched' || (this.end !== undefined && this.end.outcome !== 'notRun')
  }

  /**
   * Replaces the generation. Throws if tokens of another generation have been delivered.
   * @param generation - The generation that all subsequent tokens belong to.
   */
  setGeneration (generation: GenerationEvent): void {
    if (this.areTokensDelivered) throw new Error(`request ${this.options.id} has already delivered tokens of another generation`)
    this.generation = generation
    this.tokens.clear()
    this.changes.notifyAll()
  }

  /** Records that tokens have been delivered to a reader. The generation can no longer be replaced. */
  recordTokenDelivery (): void {
    this.areTokensDelivered = true
  }

  /** Returns whether any token has been delivered to a reader. */
  hasDeliveredTokens (): boolean {
    return this.areTokensDelivered
  }

  /** Records that a reader has received the outcome. */
  recordOutcomeRead (): void {
    this.hasOutcomeBeenRead = true
  }

  /** Returns whether a reader has received the outcome. */
  wasOutcomeRead (): boolean {
    return this.hasOutcomeBeenRead
  }

  /**
   * Adds a reader.
   * @param position - Read position, which the reader updates.
   * @returns A function that removes the reader.
   */
  addReader (position: ReaderPosition): () => void {
    this.readerPositions.add(position)
    return () => { this.readerPositions.delete(position) }
  }

  /** Counts the tokens that the most advanced reader has not read; without a reader, all buffered tokens. */
  countUnreadTokens (): number {
    const highestReadOffset = Math.max(this.tokens.getFirstOffset(), ...[...this.readerPositions].map(({ offset }) => offset))
    return this.tokens.getEndOffset() - highestReadOffset
  }

  /**
   * Removes tokens that the most advanced reader has read, except for some that are retained for repeated reads.
   * @param retainedTokens - Number of read tokens to retain.
   */
  pruneTokens (retainedTokens: number): void {
    this.tokens.pruneBefore(this.tokens.getEndOffset() - this.countUnreadTokens() - retainedTokens)
  }

  /** Waits until the request changes or is cancelled. */
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
   * Ends the request. The first outcome is final, except that a late reply replaces an unknown outcome.
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

  /** Releases the input and the tokens. Tokens can then be read only from the target; the outcome and the reply are retained. */
  dropAnswer (): void {
    this.options = { ...this.options, body: { service: this.options.service.name } }
    this.tokens.pruneBefore(this.tokens.getEndOffset())
  }

  /**
   * Records a step for the explanation of the request.
   * @param step - Short name of the step.
   * @param detail - The decision and its reason.
   */
  recordStep (step: string, detail: string): void {
    if (this.steps.length >= MAX_STEPS) return
    this.steps.push({ atMs: Math.round(this.options.clock.nowMs() - this.arrivalMs), step, detail })
  }

  /** Returns the explanation of the request: the steps that led to its target and outcome. */
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
