import { createHash } from 'node:crypto'
import { type Clock, type Service, type ServiceKind, type Snapshot } from '@fescuespoke/common'
import { type EndEvent, type Reason, type SubmitRequest } from '@fescuespoke/schema'
import { Maybe, Result } from 'true-myth'
import { runCall } from '../dispatch/runCall.js'
import { runGeneration } from '../dispatch/runGeneration.js'
import { endCancelled, type RequestRunner, type RunnerTools } from '../dispatch/RequestRunner.js'
import { formatRequestId } from '../leases/LeaseId.js'
import { type Lease, type LeaseRegistry } from '../leases/LeaseRegistry.js'
import { RequestEntry } from './RequestEntry.js'

/** Why a request was not taken; it is not an outcome of the request. */
export type SubmitError = 'conflict' | 'overloaded'

const REQUEST_RUNNERS: Record<ServiceKind, RequestRunner> = { generation: runGeneration, call: runCall }

/** When a refused request may be made again elsewhere; absent where that cannot succeed by itself. */
const RETRY_AFTER_MS: Partial<Record<Reason, number>> = { leaseExpired: 0, draining: 0, viewStale: 0, queueFull: 1000 }

/** Answer to cancelling a request of a lease that holds too many. */
const TOO_MANY_REQUESTS: EndEvent = { type: 'end', outcome: 'unknown', reason: 'queueFull', detail: 'the lease holds too many requests' }

/** Answer to cancelling a call that has been sent. */
const CALL_IN_PROGRESS: EndEvent = {
  type: 'end',
  outcome: 'unknown',
  reason: 'cancelledByCaller',
  detail: 'the call was sent and has no reply so far'
}

/** Options of a request service. */
export interface RequestServiceOptions {
  readonly clock: Clock
  readonly leases: LeaseRegistry
  readonly tools: RunnerTools
  readonly getSnapshot: () => Snapshot
  /** Tells whether new requests are refused because the instance stops. */
  readonly isRefusing: () => boolean
  /** Tells whether the process was paused a moment ago, so that a request may have waited beyond its deadline. */
  readonly isRecovering: () => boolean
  readonly defaultDeadlineMs: number
  /** Requests remembered at once. */
  readonly maxRequests: number
  /** Time in milliseconds that tokens stay readable after the end of their request. */
  readonly answerRetentionMs: number
}

/** Takes requests of this incarnation's leases and runs each number at most once. */
export class RequestService {
  /**
   * Creates a service.
   * @param options - Options of the service.
   */
  static create (options: RequestServiceOptions): RequestService {
    return new RequestService(options)
  }

  private readonly running = new Set<RequestEntry>()

  /** @internal */
  private constructor (private readonly options: RequestServiceOptions) {}

  /**
   * Submits a request, or finds the one that has the number already.
   * @param lease - Lease of the request.
   * @param number - The caller's number.
   * @param body - The request.
   */
  submitRequest (lease: Lease, number: number, body: SubmitRequest): Result<RequestEntry, SubmitError> {
    const digest = computeDigest(body)
    const existing = lease.requests.get(number)
    if (existing !== undefined) return existing.options.digest === digest || existing.options.digest === '' ? Result.ok(existing) : Result.err('conflict')
    if (lease.requests.size >= this.options.maxRequests) return Result.err('overloaded')
    const entry = this.createEntry(lease, number, body, digest)
    lease.requests.set(number, entry)
    this.startEntry(lease, entry)
    return Result.ok(entry)
  }

  /**
   * Finds a request that has been submitted or cancelled.
   * @param lease - Lease of the request.
   * @param number - The caller's number.
   */
  findRequest (lease: Lease, number: number): Maybe<RequestEntry> {
    return Maybe.of(lease.requests.get(number))
  }

  /**
   * Cancels a request. One that has never been submitted is kept from running later.
   * @param lease - Lease of the request.
   * @param number - The caller's number.
   */
  async cancelRequest (lease: Lease, number: number): Promise<EndEvent> {
    const existing = lease.requests.get(number)
    if (existing === undefined && lease.requests.size >= this.options.maxRequests) return TOO_MANY_REQUESTS
    const entry = existing ?? this.createTombstone(lease, number)
    if (entry.getPhase() === 'waiting') endCancelled(entry)
    if (entry.options.service.kind === 'generation' || entry.getPhase() !== 'dispatched') entry.cancellation.abort()
    while (!entry.isEnded() && entry.options.service.kind === 'generation') await entry.changes.waitForChange()
    return entry.getEnd().unwrapOr(CALL_IN_PROGRESS)
  }

  /** Counts the requests in progress. */
  countRunning (): number {
    return this.running.size
  }

  /** Lists the requests in progress. */
  listRunning (): RequestEntry[] {
    return [...this.running]
  }

  private startEntry (lease: Lease, entry: RequestEntry): void {
    const rejectionReason = this.findRejectionReason(lease, entry)
    if (rejectionReason.isJust) {
      entry.setEnd({ outcome: 'notRun', reason: rejectionReason.value, retryAfterMs: RETRY_AFTER_MS[rejectionReason.value] })
      this.options.tools.observer.observeEnd(entry)
      return
    }
    this.running.add(entry)
    this.runEntry(entry)
  }

  private async runEntry (entry: RequestEntry): Promise<void> {
    const { clock, tools: dependencies, answerRetentionMs } = this.options
    await REQUEST_RUNNERS[entry.options.service.kind](entry, dependencies)
    this.running.delete(entry)
    dependencies.observer.observeEnd(entry)
    clock.startTimer(answerRetentionMs, () => entry.dropAnswer())
  }

  private findRejectionReason (lease: Lease, entry: RequestEntry): Maybe<Reason> {
    const { leases, isRefusing, isRecovering, maxRequests, getSnapshot } = this.options
    if (!leases.isActive(lease)) return Maybe.just('leaseExpired')
    if (isRefusing()) return Maybe.just('draining')
    if (isRecovering()) return Maybe.just('viewStale')
    if (this.running.size >= maxRequests) return Maybe.just('queueFull')
    if (!isConfigured(getSnapshot(), lease.workspace, entry.options.service.name)) return Maybe.just('notConfigured')
    return Maybe.nothing()
  }

  private createEntry (lease: Lease, number: number, body: SubmitRequest, digest: string): RequestEntry {
    const { clock, defaultDeadlineMs, getSnapshot } = this.options
    const snapshot = getSnapshot()
    const service = snapshot.services.get(body.service) ?? createUnknownService(body.service, defaultDeadlineMs)
    return RequestEntry.create({
      id: formatRequestId(lease.id, number),
      workspace: lease.workspace,
      body,
      digest,
      service,
      snapshot,
      priority: body.priority ?? service.overrides.get(lease.workspace)?.priority ?? service.priority,
      clock,
      deadlineMs: clock.nowMs() + Math.min(body.deadlineMs ?? service.deadlineMs, service.deadlineMs)
    })
  }

  private createTombstone (lease: Lease, number: number): RequestEntry {
    const entry = this.createEntry(lease, number, { service: '' }, '')
    lease.requests.set(number, entry)
    return entry
  }
}

function computeDigest (body: SubmitRequest): string {
  const { replaces, ...rest } = body
  return createHash('sha256').update(JSON.stringify(rest)).digest('base64')
}

function isConfigured (snapshot: Snapshot, workspace: string, service: string): boolean {
  const found = snapshot.workspaces.get(workspace)
  if (found === undefined || !snapshot.services.has(service)) return false
  return found.services === undefined || found.services.includes(service)
}

function createUnknownService (name: string, deadlineMs: number): Service {
  return {
    name,
    kind: 'call',
    idempotent: false,
    delivery: 'whole',
    priority: 'normal',
    deadlineMs,
    targets: [],
    copies: 0,
    overrides: new Map()
  }
}
