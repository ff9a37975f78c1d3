import { type LogFields } from '../logs/DecisionLog.js'
import { type MovableRun, type RunContinuation } from '../moves/MovableRun.js'
import { estimateTokens } from '../placement/estimateTokens.js'
import { type TargetReservation } from '../placement/TargetReservation.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type Attempt, type AttemptHead } from '../targets/RelayTargetClient.js'
import { EventSplitter, type StreamEvent } from './EventSplitter.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'

/** An attempt at one target with the use of it. */
export interface StreamAttempt {
  readonly reservation: TargetReservation
  readonly attempt: Attempt
  readonly abort: AbortController
}

/** Worth of a token that is generated, in tokens of the prompt. */
const OUTPUT_TOKEN_VALUE = 10

/** Events between two updates of the memory that a run needs. */
const EVENTS_PER_UPDATE = 8

/** Time that a stopped run's stream has to deliver the events that were made before, in milliseconds. */
const REMAINING_EVENTS_TIMEOUT_MS = 150

/** One streamed answer on its way: what the caller has, which target produces it, and where it goes on. */
export class StreamRun implements MovableRun {
  /**
   * Creates a run that has not begun.
   * @param dependencies - What the request uses.
   * @param context - The request.
   */
  static create (dependencies: RelayDependencies, context: RelayContext): StreamRun {
    return new StreamRun(dependencies, context)
  }

  readonly requestId: string
  readonly service: ServiceProfile
  /** Targets that are not asked again. */
  readonly excludedTargets = new Set<string>()
  /** Attempts that ran or may have run. */
  executedAttempts = 0
  /** Attempts that left. */
  sentAttempts = 0
  currentAttempt: StreamAttempt | undefined
  private lastEventId: string | undefined
  private eventCount = 0
  private firstEventAtMs: number | undefined
  private lastEventAtMs: number | undefined
  private longestGapMs = 0
  private hasWrittenHead = false
  private hasClosed = false
  private pendingContinuation: RunContinuation | undefined
  private splitter = EventSplitter.create()
  private notifyWaiter: (() => void) | undefined

  /** @internal */
  private constructor (private readonly dependencies: RelayDependencies, private readonly context: RelayContext) {
    this.requestId = context.request.id
    this.service = context.service
    this.lastEventId = context.request.lastEventId
  }

  /** Gets the id of the last event that the caller was sent. */
  getLastEventId (): string | undefined {
    return this.lastEventId
  }

  /** @inheritdoc */
  hasStarted (): boolean {
    return this.hasWrittenHead
  }

  /** @inheritdoc */
  getExpectedTokens (): number {
    return estimateTokens(this.context.request.size, this.eventCount * (this.service.engine?.tokensPerEvent ?? 1))
  }

  /** @inheritdoc */
  getHeldTokens (): number {
    return (this.context.request.size?.promptTokens ?? 0) + this.eventCount * (this.service.engine?.tokensPerEvent ?? 1)
  }

  /** @inheritdoc */
  getCompletionValue (): number {
    const { size } = this.context.request
    return size === undefined ? 1 : size.promptTokens + OUTPUT_TOKEN_VALUE * size.maxOutputTokens
  }

  /** @inheritdoc */
  getTargetName (): string | undefined {
    return this.currentAttempt?.reservation.target.name
  }

  /** @inheritdoc */
  isClosed (): boolean {
    return this.hasClosed
  }

  /** @inheritdoc */
  continueAt (next: RunContinuation): void {
    if (this.hasClosed) {
      next.reservation.release()
      return
    }
    this.pendingContinuation = next
    const { currentAttempt } = this
    this.dependencies.clock.startTimer(REMAINING_EVENTS_TIMEOUT_MS, () => currentAttempt?.abort.abort())
    this.notifyWaiter?.()
  }

  /** Takes where the run goes on; waits for a move that is in progress. */
  async takeContinuation (): Promise<RunContinuation | undefined> {
    while (this.pendingContinuation === undefined && this.dependencies.mover.isMoving(this) && !this.context.signal.aborted) {
      await new Promise<void>(resolve => {
        this.notifyWaiter = resolve
        this.dependencies.clock.startTimer(REMAINING_EVENTS_TIMEOUT_MS, resolve)
      })
    }
    const { pendingContinuation: next } = this
    this.pendingContinuation = undefined
    return next
  }

  /** Tells whether the run was stopped for a move and everything it had made has arrived. */
  hasReceivedAllBeforeMove (): boolean {
    return this.pendingContinuation !== undefined && this.pendingContinuation.createdEvents > 0 && this.eventCount >= this.pendingContinuation.createdEvents
  }

  /** Begins to read the answer of another attempt: part of an event that the one before left is dropped. */
  startReading (): void {
    this.splitter = EventSplitter.create()
  }

  /**
   * Takes bytes of the stream in and passes whole events on.
   * @param head - Beginning of the answer; the first one is what the caller sees.
   * @param bytes - The bytes.
   * @returns Whether the bytes were events.
   */
  async forwardBytes (head: AttemptHead, bytes: Buffer): Promise<boolean> {
    const events = this.splitter.addBytes(bytes)
    if (events === undefined) return false
    if (events.length === 0) return true
    this.writeHead(head)
    await this.context.sink.writeBytes(events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes)))
    this.countEvents(events)
    return true
  }

  /**
   * Ends the answer as complete, with what is left of a body that is no stream of events.
   * @param head - Beginning of the answer.
   */
  async finish (head: AttemptHead): Promise<void> {
    this.writeHead(head)
    const remainder = this.splitter.getRemainder()
    if (remainder.length > 0) await this.context.sink.writeBytes(remainder)
    this.context.sink.end()
    this.recordGenerationTime()
  }

  /** Describes how the stream went, for the log. */
  describeProgress (): LogFields {
    const { receivedAtMs } = this.context.request
    const firstEventMs = this.firstEventAtMs === undefined ? undefined : Math.round(this.firstEventAtMs - receivedAtMs)
    return { events: this.eventCount, firstEventMs, longestGapMs: Math.round(this.longestGapMs), attempts: this.sentAttempts }
  }

  /** Ends the current attempt. */
  closeCurrentAttempt (): void {
    this.currentAttempt?.abort.abort()
    this.currentAttempt?.reservation.release()
    this.currentAttempt = undefined
  }

  /** Ends the run and gives back everything that it holds. */
  close (): void {
    this.hasClosed = true
    this.dependencies.mover.removeRun(this)
    this.closeCurrentAttempt()
    this.pendingContinuation?.reservation.release()
  }

  private recordGenerationTime (): void {
    const { firstEventAtMs, lastEventAtMs, eventCount: events, service } = this
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) return
    this.dependencies.generationTimes.recordGeneration(service.name, (events - 1) * (service.engine?.tokensPerEvent ?? 1), lastEventAtMs - firstEventAtMs)
  }

  private recordEventTime (): void {
    const nowMs = this.dependencies.clock.nowMs()
    this.firstEventAtMs ??= nowMs
    this.longestGapMs = Math.max(this.longestGapMs, nowMs - (this.lastEventAtMs ?? nowMs))
    this.lastEventAtMs = nowMs
  }

  private updateTokens (): void {
    this.currentAttempt?.reservation.setTokens(this.getExpectedTokens(), this.getHeldTokens())
  }

  private writeHead (head: AttemptHead): void {
    if (this.hasWrittenHead) return
    this.hasWrittenHead = true
    this.context.sink.writeHead(head)
    this.dependencies.metrics.recordAnswerTime(this.context.route.name, this.dependencies.clock.nowMs() - this.context.request.receivedAtMs)
  }

  private countEvents (events: readonly StreamEvent[]): void {
    const previousCount = this.eventCount
    this.recordEventTime()
    this.eventCount += events.length
    this.lastEventId = events.at(-1)?.id ?? this.lastEventId
    if (previousCount === 0 || Math.floor(previousCount / EVENTS_PER_UPDATE) !== Math.floor(this.eventCount / EVENTS_PER_UPDATE)) this.updateTokens()
  }
}
