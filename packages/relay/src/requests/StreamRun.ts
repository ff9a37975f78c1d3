import { type LogFields } from '../logs/DecisionLog.js'
import { type MovableRun, type RunContinuation } from '../moves/MovableRun.js'
import { estimateTokens } from '../placement/estimateTokens.js'
import { type TargetUse } from '../placement/TargetUse.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type Attempt, type AttemptHead } from '../targets/RelayTargetClient.js'
import { EventSplitter, type StreamEvent } from './EventSplitter.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayTools } from './RelayTools.js'

/** An attempt at one target with the use of it. */
export interface StreamAttempt {
  readonly use: TargetUse
  readonly attempt: Attempt
  readonly abort: AbortController
}

/** Worth of a token that is generated, in tokens of the prompt. */
const OUTPUT_TOKEN_WORTH = 10

/** Events between two updates of the memory that a run needs. */
const EVENTS_PER_UPDATE = 8

/** Time that a stopped run's stream has to deliver the events that were made before, in milliseconds. */
const REST_MS = 150

/** One streamed answer on its way: what the caller has, which target produces it, and where it goes on. */
export class StreamRun implements MovableRun {
  /**
   * Creates a run that has not begun.
   * @param tools - What the request uses.
   * @param context - The request.
   */
  static create (tools: RelayTools, context: RelayContext): StreamRun {
    return new StreamRun(tools, context)
  }

  readonly request: string
  readonly service: ServiceProfile
  /** Targets that are not asked again. */
  readonly excluded = new Set<string>()
  /** Attempts that ran or may have run. */
  executed = 0
  /** Attempts that left. */
  sent = 0
  current: StreamAttempt | undefined
  private lastId: string | undefined
  private events = 0
  private firstEventAtMs: number | undefined
  private lastEventAtMs: number | undefined
  private longestGapMs = 0
  private headWritten = false
  private over = false
  private next: RunContinuation | undefined
  private splitter = EventSplitter.create()
  private wakeReader: (() => void) | undefined

  /** @internal */
  private constructor (private readonly tools: RelayTools, private readonly context: RelayContext) {
    this.request = context.request.id
    this.service = context.service
    this.lastId = context.request.lastEventId
  }

  /** Gets the id of the last event that the caller was sent. */
  getLastEventId (): string | undefined {
    return this.lastId
  }

  /** @inheritdoc */
  hasBegun (): boolean {
    return this.headWritten
  }

  /** @inheritdoc */
  getTokens (): number {
    return estimateTokens(this.context.request.size, this.events * (this.service.engine?.tokensPerEvent ?? 1))
  }

  /** @inheritdoc */
  getHeldTokens (): number {
    return (this.context.request.size?.promptTokens ?? 0) + this.events * (this.service.engine?.tokensPerEvent ?? 1)
  }

  /** @inheritdoc */
  getWorth (): number {
    const { size } = this.context.request
    return size === undefined ? 1 : size.promptTokens + OUTPUT_TOKEN_WORTH * size.maxOutputTokens
  }

  /** @inheritdoc */
  getTargetName (): string | undefined {
    return this.current?.use.target.name
  }

  /** @inheritdoc */
  isOver (): boolean {
    return this.over
  }

  /** @inheritdoc */
  continueAt (next: RunContinuation): void {
    if (this.over) {
      next.use.release()
      return
    }
    this.next = next
    const { current } = this
    this.tools.clock.startTimer(REST_MS, () => current?.abort.abort())
    this.wakeReader?.()
  }

  /** Takes where the run goes on; waits for a move that is in progress. */
  async takeContinuation (): Promise<RunContinuation | undefined> {
    while (this.next === undefined && this.tools.mover.isMoving(this) && !this.context.signal.aborted) {
      await new Promise<void>(resolve => {
        this.wakeReader = resolve
        this.tools.clock.startTimer(REST_MS, resolve)
      })
    }
    const { next } = this
    this.next = undefined
    return next
  }

  /** Tells whether the run was stopped for a move and everything it had made has arrived. */
  hasAllBeforeMove (): boolean {
    return this.next !== undefined && this.next.createdEvents > 0 && this.events >= this.next.createdEvents
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
  async passBytes (head: AttemptHead, bytes: Buffer): Promise<boolean> {
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
    const rest = this.splitter.getRest()
    if (rest.length > 0) await this.context.sink.writeBytes(rest)
    this.context.sink.end()
    this.observePace()
  }

  /** Describes how the stream went, for the log. */
  describeCourse (): LogFields {
    const { receivedAtMs } = this.context.request
    const firstEventMs = this.firstEventAtMs === undefined ? undefined : Math.round(this.firstEventAtMs - receivedAtMs)
    return { events: this.events, firstEventMs, longestGapMs: Math.round(this.longestGapMs), attempts: this.sent }
  }

  /** Ends the current attempt. */
  closeCurrent (): void {
    this.current?.abort.abort()
    this.current?.use.release()
    this.current = undefined
  }

  /** Ends the run and gives back everything that it holds. */
  close (): void {
    this.over = true
    this.tools.mover.removeRun(this)
    this.closeCurrent()
    this.next?.use.release()
  }

  private observePace (): void {
    const { firstEventAtMs, lastEventAtMs, events, service } = this
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) return
    this.tools.pace.observeGeneration(service.name, (events - 1) * (service.engine?.tokensPerEvent ?? 1), lastEventAtMs - firstEventAtMs)
  }

  private observeEventTime (): void {
    const nowMs = this.tools.clock.nowMs()
    this.firstEventAtMs ??= nowMs
    this.longestGapMs = Math.max(this.longestGapMs, nowMs - (this.lastEventAtMs ?? nowMs))
    this.lastEventAtMs = nowMs
  }

  private updateTokens (): void {
    this.current?.use.setTokens(this.getTokens(), this.getHeldTokens())
  }

  private writeHead (head: AttemptHead): void {
    if (this.headWritten) return
    this.headWritten = true
    this.context.sink.writeHead(head)
    this.tools.metrics.observeAnswer(this.context.route.name, this.tools.clock.nowMs() - this.context.request.receivedAtMs)
  }

  private countEvents (events: readonly StreamEvent[]): void {
    const before = this.events
    this.observeEventTime()
    this.events += events.length
    this.lastId = events.at(-1)?.id ?? this.lastId
    if (before === 0 || Math.floor(before / EVENTS_PER_UPDATE) !== Math.floor(this.events / EVENTS_PER_UPDATE)) this.updateTokens()
  }
}
