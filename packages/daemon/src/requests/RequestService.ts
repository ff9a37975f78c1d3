import { createHash } from 'node:crypto'
import { type Clock, type Service, type ServiceKind, type Snapshot } from '@fescuespoke/common'
import { type EndEvent, type Reason, type SubmitRequest } from '@fescuespoke/schema'
import { Maybe, Result } from 'true-myth'
import { runCall } from '../dispatch/runCall.js'
import { runGeneration } from '../dispatch/runGeneration.js'
import { endCancelled, type RequestRunner, type RunnerDependencies } from '../dispatch/RequestRunner.js'
import { formatRequestId } from '../leases/LeaseId.js'
import { type Lease, type LeaseRegistry } from '../leases/LeaseRegistry.js'
import { RequestEntry } from './RequestEntry.js'

/** Why a submission was rejected. This is not an outcome of the request. */
export type SubmitError = 'conflict' | 'overloaded'

const REQUEST_RUNNERS: Record<ServiceKind, RequestRunner> = { generation: runGeneration, call: runCall }

/** Delay after which a rejected request can be retried on another instance, in milliseconds. Absent when a retry alone cannot succeed. */
const RETRY_AFTER_MS: Partial<Record<Reason, number>> = { leaseExpired: 0, draining: 0, viewStale: 0, queueFull: 1000 }

/** Response to the cancellation of an unknown request when its lease holds too many requests. */
const TOO_MANY_REQUESTS: EndEvent = { type: 'end', outcome: 'unknown', reason: 'queueFull', detail: 'the lease holds too many requests' }

/** Response to the cancellation of a call that has already been sent. */
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
  readonly runnerDependencies: RunnerDependencies
  readonly getSnapshot: () => Snapshot
  /** Returns whether new requests are rejected because the instance is stopping. */
  readonly isRejectingRequests: () => boolean
  /** Returns whether the process was paused recently, so that a request may have waited past its deadline. */
  readonly isRecovering: () => boolean
  readonly defaultDeadlineMs: number
  /** Maximum number of running requests, and of requests per lease. */
  readonly maxRequests: number
  /** Time for which tokens stay readable after their request ends, in milliseconds. */
  readonly answerRetentionMs: number
}

/** Accepts requests of this incarnation's leases and runs each request number at most once. */
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
   * Submits a request, or returns the existing request with the same number.
   * @param lease - Lease of the request.
   * @param number - Request number chosen by the caller.
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
   * @param number - Request number chosen by the caller.
   */
  findRequest (lease: Lease, number: number): Maybe<RequestEntry> {
    return Maybe.of(lease.requests.get(number))
  }

  /**
   * Cancels a request. A request that has not been submitted yet is prevented from running later.
   * @param lease - Lease of the request.
   * @param number - Request number chosen by the caller.
   * @returns The outcome. It is `unknown` for a call that has been sent and has no reply yet.
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

  /** Returns the number of running requests. */
  countRunning (): number {
    return this.running.size
  }

  /** Lists the running requests. */
  listRunning (): RequestEntry[] {
    return [...this.running]
  }

  private startEntry (lease: Lease, entry: RequestEntry): void {
    const rejectionReason = this.findRejectionReason(lease, entry)
    if (rejectionReason.isJust) {
      entry.setEnd({ outcome: 'notRun', reason: rejectionReason.value, retryAfterMs: RETRY_AFTER_MS[rejectionReason.value] })
      this.options.runnerDependencies.observer.observeEnd(entry)
      return
    }
    this.running.add(entry)
    this.runEntry(entry)
  }

  private async runEntry (entry: RequestEntry): Promise<void> {
    const { clock, runnerDependencies: dependencies, answerRetentionMs } = this.options
    await REQUEST_RUNNERS[entry.options.service.kind](entry, dependencies)
    this.running.delete(entry)
    dependencies.observer.observeEnd(entry)
    clock.startTimer(answerRetentionMs, () => entry.dropAnswer())
  }

  private findRejectionReason (lease: Lease, entry: RequestEntry): Maybe<Reason> {
    const { leases, isRejectingRequests, isRecovering, maxRequests, getSnapshot } = this.options
    if (!leases.isActive(lease)) return Maybe.just('leaseExpired')
    if (isRejectingRequests()) return Maybe.just('draining')
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
  const workspaceRecord = snapshot.workspaces.get(workspace)
  if (workspaceRecord === undefined || !snapshot.services.has(service)) return false
  return workspaceRecord.services === undefined || workspaceRecord.services.includes(service)
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
