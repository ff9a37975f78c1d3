import { BUFFER_BUDGET_CAUSE, type BufferAccount } from '@fescuespoke/common'
import { type RunWatch } from '../crashes/RunWatch.js'
import { type LogFields } from '../logs/DecisionLog.js'
import { type MovableRun, type RunContinuation } from '../moves/MovableRun.js'
import { estimateTokens } from '../placement/estimateTokens.js'
import { type AllowedRegions } from '../places/RegionMap.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type StreamGaps } from '../speeds/StreamGaps.js'
import { type AttemptHead, MIN_NON_SUCCESS_STATUS } from '../targets/RelayTargetClient.js'
import { createStreamOrigin, type StreamOrigin } from '../versions/StreamOrigin.js'
import { AttemptReplacement } from './AttemptReplacement.js'
import { EventOrder } from './EventOrder.js'
import { EventSplitter, type StreamEvent } from './EventSplitter.js'
import { type RelayContext } from './RelayContext.js'
import { type RelayDependencies } from './RelayDependencies.js'
import { RefusedTargets } from './RefusedTargets.js'
import { RunTargets } from './RunTargets.js'
import { type StreamAttempt } from './StreamAttempt.js'
import { writeToCaller } from './writeToCaller.js'

/** Value of an output token relative to a prompt token. */
const OUTPUT_TOKEN_VALUE = 10

/** Number of events between two updates of the memory that a run needs. */
const EVENTS_PER_UPDATE = 8

/** Time in which the stream of a stopped run delivers the events that were produced before, in milliseconds. */
export const REMAINING_EVENTS_TIMEOUT_MS = 150

/**
 * Result of forwarding bytes. `progress`: an event with data was among them, or the body is not a series of events. `noProgress`: there
 * was none. `unusable`: they are not events that follow those before.
 */
export type ForwardResult = 'progress' | 'noProgress' | 'unusable'

/** State of one streamed answer: the events that the caller received, the current attempt, and its continuation after a move. */
export class StreamRun implements MovableRun {
  /**
   * Creates a run that has not started.
   * @param dependencies - Components that handle the request.
   * @param context - The request.
   */
  static create (dependencies: RelayDependencies, context: RelayContext): StreamRun {
    return new StreamRun(dependencies, context)
  }

  readonly requestId: string
  readonly service: ServiceProfile
  readonly allowedRegions?: AllowedRegions
  readonly watch: RunWatch
  readonly replacement = AttemptReplacement.create()
  /** Names of targets to which the request is not sent again. */
  readonly excludedTargets = new Set<string>()
  /** Names of targets to which the request was sent. */
  readonly sentTargets = new Set<string>()
  /** Number of attempts that ran or may have run. */
  executedAttempts = 0
  /** Number of attempts that were sent. */
  sentAttempts = 0
  /** Number of sent attempts that went on from the memory of an earlier one. */
  continuedAttempts = 0
  /** Number of attempts that did not reach their target; they use no budget. */
  unsentAttempts = 0
  currentAttempt: StreamAttempt | undefined
  private origin: StreamOrigin | undefined
  private lastEventId: string | undefined
  private eventCount = 0
  /** Clock reading at which the attempt that brought the first event was sent. */
  private sentAtMs: number | undefined
  private firstEventAtMs: number | undefined
  private lastEventAtMs: number | undefined
  private longestGapMs = 0
  private firstHead: AttemptHead | undefined
  private hasClosed = false
  /** Targets at which the request began to run or may have begun; a run that is moved counts where it began. */
  readonly runTargets: RunTargets
  readonly refusedTargets: RefusedTargets
  private pendingContinuation: RunContinuation | undefined
  /** Whether the engine of the current attempt was asked to stop the run. */
  private wasAskedToStop = false
  private splitter = EventSplitter.create()
  /** Account of the bytes that the splitter keeps for the current attempt. */
  private bufferAccount: BufferAccount | undefined
  private order = EventOrder.create(undefined)
  /** Gaps between the events of the current attempt; undefined for a service without engines. */
  private gaps: StreamGaps | undefined
  private notifyWaiter: (() => void) | undefined

  /** @internal */
  private constructor (private readonly dependencies: RelayDependencies, private readonly context: RelayContext) {
    this.requestId = context.request.id
    this.service = context.service
    this.allowedRegions = context.allowedRegions
    this.watch = dependencies.crashes.watchRuns(context)
    this.runTargets = RunTargets.create(dependencies.table)
    this.refusedTargets = RefusedTargets.create(dependencies.clock)
    this.origin = context.origin
    this.lastEventId = context.request.lastEventId
  }

  /** Returns the origin of the stream, to which all its events belong; undefined before the first event of a new stream. */
  getOrigin (): StreamOrigin | undefined {
    return this.origin
  }

  /** Returns the id of the last event that was sent to the caller. */
  getLastEventId (): string | undefined {
    return this.lastEventId
  }

  /** @inheritdoc */
  hasStarted (): boolean {
    return this.firstHead !== undefined
  }

  /** Returns the head that was sent to the caller; undefined when no part of the answer was sent. */
  getFirstHead (): AttemptHead | undefined {
    return this.firstHead
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
  getTarget (): RelayTarget | undefined {
    return this.currentAttempt?.reservation.target
  }

  /** @inheritdoc */
  isClosed (): boolean {
    return this.hasClosed
  }

  /** @inheritdoc */
  recordStopRequest (): void {
    this.wasAskedToStop = true
  }

  /** @inheritdoc */
  continueAt (next: RunContinuation): void {
    if (this.hasClosed) {
      next.reservation.release()
      return
    }
    this.pendingContinuation = next
    const { currentAttempt } = this
    currentAttempt?.reservation.clearTokens()
    this.dependencies.clock.startTimer(REMAINING_EVENTS_TIMEOUT_MS, () => currentAttempt?.abortController.abort())
    this.notifyWaiter?.()
  }

  /** Returns and clears the continuation of the run; waits for a move in progress. Returns undefined when there is none. */
  async takeContinuation (): Promise<RunContinuation | undefined> {
    await this.waitForMove()
    const { pendingContinuation: next } = this
    this.pendingContinuation = undefined
    return next
  }

  /** Drops the continuation of a run that goes on without it. */
  dropContinuation (): void {
    this.pendingContinuation?.reservation.release()
    this.pendingContinuation = undefined
  }

  /** @inheritdoc */
  isContinuing (): boolean {
    return this.pendingContinuation !== undefined
  }

  /** Returns whether the run was stopped for a move and all events that it had produced have arrived. */
  hasReceivedAllBeforeMove (): boolean {
    return this.pendingContinuation !== undefined && this.pendingContinuation.producedEvents > 0 && this.eventCount >= this.pendingContinuation.producedEvents
  }

  /**
   * Records that an attempt runs or may have run.
   * @param attempt - The attempt; by default, the current one.
   */
  recordExecuted (attempt: StreamAttempt = this.currentAttempt!): void {
    this.executedAttempts++
    const { reservation: { target }, isContinuation } = attempt
    this.excludedTargets.add(target.name)
    if (!isContinuation) this.runTargets.add(target)
  }

  /**
   * Records that a target refused an attempt. A stream that has started may ask it again later.
   * @param attempt - The attempt.
   */
  recordRefusal ({ reservation: { target: { name } }, isContinuation }: StreamAttempt): void {
    if (!this.hasStarted() || isContinuation) return
    this.refusedTargets.add(name)
    this.excludedTargets.delete(name)
  }

  /** Counts the targets at which the request may have run and that have not ended, with the one of the current attempt. */
  countPossibleRunTargets (): number {
    const { currentAttempt } = this
    const isCounted = currentAttempt === undefined || currentAttempt.isContinuation || this.runTargets.has(currentAttempt.reservation.target)
    return this.runTargets.count() + (isCounted ? 0 : 1)
  }

  /** Starts to read the answer of a new attempt; discards an incomplete event of the previous attempt. */
  startReading (): void {
    this.splitter = EventSplitter.create()
    this.bufferAccount = this.openBufferAccount()
    this.order = EventOrder.create(this.lastEventId)
    this.wasAskedToStop = false
    this.gaps = this.startGaps()
    if (this.hasStarted()) this.updateTokens()
    else this.sentAtMs = this.currentAttempt?.sentAtMs
  }

  /**
   * Processes bytes of the stream and forwards complete events.
   * @param head - Status and headers of the answer; the first head is sent to the caller.
   * @param bytes - The bytes.
   */
  async forwardBytes (head: AttemptHead, bytes: Buffer): Promise<ForwardResult> {
    const events = this.splitBytes(bytes)
    if (events === undefined) return isEventSeries(head) ? 'unusable' : await this.forwardRemainder(head)
    const result = !isEventSeries(head) || events.some(({ hasData }) => hasData) ? 'progress' : 'noProgress'
    if (events.length === 0) return result
    if (isEventSeries(head) && !this.order.addEvents(events)) return 'unusable'
    if (this.eventCount === 0) this.recordOrigin(createStreamOrigin(this.currentAttempt!.reservation.target))
    this.gaps?.recordArrival(events.length)
    this.writeHead(head)
    await writeToCaller(this.context, events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(event => event.bytes)))
    this.countEvents(events)
    this.gaps?.recordWritten()
    return result
  }

  /**
   * Returns whether the regular end of an attempt's answer cuts the stream off: in the middle of an event, or because the run was
   * stopped for a move and the answer has no length.
   * @param head - Status and headers of the answer.
   */
  async isCutOff (head: AttemptHead): Promise<boolean> {
    const hasIncompleteEvent = /[^\r\n]/.test(this.splitter.getRemainder().toString('latin1'))
    if (hasIncompleteEvent && isEventSeries(head)) return true
    return !head.isFramed && await this.mayHaveBeenStopped()
  }

  /**
   * Ends the answer as complete and forwards the remaining bytes of a body that is not an event stream.
   * @param head - Status and headers of the answer.
   */
  async finish (head: AttemptHead): Promise<void> {
    this.writeHead(head)
    const remainder = this.splitter.getRemainder()
    if (remainder.length > 0) await writeToCaller(this.context, remainder)
    this.context.sink.end()
    this.recordGenerationTime()
  }

  /** Returns log fields that describe the progress of the stream. */
  describeProgress (): LogFields {
    const { receivedAtMs } = this.context.request
    const firstEventMs = this.firstEventAtMs === undefined ? undefined : Math.round(this.firstEventAtMs - receivedAtMs)
    return { events: this.eventCount, firstEventMs, longestGapMs: Math.round(this.longestGapMs), attempts: this.sentAttempts }
  }

  /**
   * Returns log fields that describe how an answer ended.
   * @param head - Status and headers of the answer.
   */
  describeEnd ({ isFramed }: AttemptHead): LogFields {
    return { isFramed, incompleteEventBytes: this.splitter.getRemainder().length, isMoving: this.dependencies.mover.isMoving(this) || this.isContinuing() }
  }

  /** Returns the events that bytes of the stream complete; undefined when they are not events. */
  private splitBytes (bytes: Buffer): StreamEvent[] | undefined {
    const events = this.splitter.addBytes(bytes)
    this.bufferAccount?.setBytes(this.splitter.getBufferedBytes())
    return events
  }

  /** Forwards what is buffered of a body that is not a series of events. */
  private async forwardRemainder (head: AttemptHead): Promise<ForwardResult> {
    const remainder = this.splitter.getRemainder()
    this.splitter = EventSplitter.create()
    this.writeHead(head)
    await writeToCaller(this.context, remainder)
    return 'progress'
  }

  /** Ends the current attempt, drops what is buffered of its answer and releases its target. */
  closeCurrentAttempt (): void {
    this.currentAttempt?.close()
    this.currentAttempt = undefined
    this.splitter = EventSplitter.create()
    this.bufferAccount?.close()
  }

  /** Ends the run and releases all its resources. */
  close (): void {
    this.hasClosed = true
    this.dependencies.mover.removeRun(this)
    this.closeCurrentAttempt()
    this.dropContinuation()
    this.replacement.drop()
  }

  /** Opens an account for the answer of the current attempt, which is lost if it holds too many bytes. */
  private openBufferAccount (): BufferAccount | undefined {
    const { currentAttempt: current } = this
    if (current === undefined) return undefined
    const owner = { kind: 'targetAnswer', request: this.requestId, peer: current.reservation.target.name } as const
    return this.dependencies.bufferBudget.openAccount({ ...owner, end: () => current.attempt.markLost(BUFFER_BUDGET_CAUSE) })
  }

  private recordOrigin (origin: StreamOrigin): void {
    const { context: { route, request }, dependencies } = this
    this.origin = origin
    if (route.isResumable) dependencies.origins.recordStream(route, request.resumedId ?? request.id, origin, request.remainingMs)
  }

  /** Returns whether the run was stopped for a move, or may have been; waits for a move in progress. */
  private async mayHaveBeenStopped (): Promise<boolean> {
    if (!this.wasAskedToStop) return false
    await this.waitForMove()
    return this.isContinuing() || this.dependencies.mover.hasStandbyCopy(this)
  }

  private async waitForMove (): Promise<void> {
    while (this.pendingContinuation === undefined && this.dependencies.mover.isMoving(this) && !this.context.signal.aborted) {
      await new Promise<void>(resolve => {
        this.notifyWaiter = resolve
        this.dependencies.clock.startTimer(REMAINING_EVENTS_TIMEOUT_MS, resolve)
      })
    }
  }

  private startGaps (): StreamGaps | undefined {
    const target = this.getTarget()
    return this.service.engine === undefined || target === undefined ? undefined : this.dependencies.speeds.startStream(target, this.requestId)
  }

  private recordGenerationTime (): void {
    const { sentAtMs, firstEventAtMs, lastEventAtMs, eventCount, service, context: { request }, dependencies: { generationTimes, durations, speeds } } = this
    const target = this.getTarget()
    if (sentAtMs === undefined || firstEventAtMs === undefined || lastEventAtMs === undefined) return
    const tokens = (eventCount - 1) * (service.engine?.tokensPerEvent ?? 1)
    const durationMs = lastEventAtMs - firstEventAtMs
    const speed = target === undefined ? undefined : speeds.getSpeed(target)
    generationTimes.recordGeneration(service.name, tokens, durationMs, speed)
    // A resumed stream has a part of the output, which tells nothing about stated sizes.
    const size = request.lastEventId === undefined ? request.size : undefined
    durations.recordGeneration(service.name, { size, tokens, firstEventMs: firstEventAtMs - sentAtMs, durationMs, speed })
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
    if (this.hasStarted()) return
    this.firstHead = head
    this.context.sink.writeHead(head)
    this.dependencies.metrics.recordAnswerTime(this.context.route.name, this.dependencies.clock.nowMs() - this.context.request.receivedAtMs)
  }

  private countEvents (events: readonly StreamEvent[]): void {
    const previousCount = this.eventCount
    this.recordEventTime()
    this.watch.recordEvents()
    this.eventCount += events.length
    for (const { id } of events) this.lastEventId = id ?? this.lastEventId
    if (previousCount === 0 || Math.floor(previousCount / EVENTS_PER_UPDATE) !== Math.floor(this.eventCount / EVENTS_PER_UPDATE)) this.updateTokens()
  }
}

/** Returns whether the body of an answer consists of the events of a run; that of a failure does not, whatever its type. */
function isEventSeries ({ status, isEventStream }: AttemptHead): boolean {
  return isEventStream && status < MIN_NON_SUCCESS_STATUS
}
