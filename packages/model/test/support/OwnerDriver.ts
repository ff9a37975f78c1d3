import { MetricsRegistry, SeededRandom, type Snapshot, VirtualClock } from '@fescuespoke/common'
import {
  type Lease, LeaseRegistry, type RequestEntry, RequestService, ResumeService, ResumeTokenCodec, type RunnerDependencies
} from '@fescuespoke/daemon'
import { type StreamEvent } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { createHarmfulRequests } from '../../../daemon/test/support/createHarmfulRequests.js'
import { RequestMetrics } from '../../../daemon/src/metrics/RequestMetrics.js'
import { readEvents } from '../../../daemon/src/requests/readEvents.js'
import { type RequestKind } from '../../src/index.js'
import { ControlledScheduler } from './ControlledScheduler.js'
import { ControlledTargets } from './ControlledTargets.js'

const DEADLINE_MS = 1_000_000
const LEASE_MS = 60_000
const UNLIMITED_MS = 1_000_000_000
const REOPEN_DELAY_MS = 100
const REQUEST_NUMBER = 1
const TARGETS = ['t1', 't2', 't3']

/** Drives the product's request service of an owner, with its leases and resumes, through the steps of a trace. */
export class OwnerDriver {
  readonly clock = VirtualClock.create()
  readonly leaseClock = VirtualClock.create()
  readonly targets = new ControlledTargets()
  readonly scheduler = new ControlledScheduler(this.clock)
  readonly leases = LeaseRegistry.create({
    instance: 'i', incarnation: 'n', clock: this.leaseClock, random: SeededRandom.create(1), leaseMs: LEASE_MS, retentionMs: LEASE_MS, maxLeases: 10
  })

  readonly lease: Lease = this.leases.grantLease('w').unwrapOrElse(() => { throw new Error('no lease') })
  readonly resumeTokenCodec = ResumeTokenCodec.create({ fleetKey: 'key-of-this-test' })
  readonly requests: RequestService
  readonly resumes = ResumeService.create({ clock: this.clock, targetClient: this.targets, resumeTokenCodec: this.resumeTokenCodec })
  private readonly resumeTokensByAttempt = new Map<number, string>()
  private isRejectingRequests = false
  private hasService = true

  constructor (private readonly kind: RequestKind) {
    this.requests = RequestService.create({
      clock: this.clock,
      leases: this.leases,
      runnerDependencies: this.createRunnerDependencies(),
      getSnapshot: () => createSnapshot(kind, this.hasService),
      isRejectingRequests: () => this.isRejectingRequests,
      isRecovering: () => false,
      defaultDeadlineMs: DEADLINE_MS,
      maxRequests: 100,
      answerRetentionMs: UNLIMITED_MS
    })
  }

  /** Finds the request's entry through its lease, as a newly arrived copy would; `undefined` when the lease or the entry is absent. */
  findEntry (): RequestEntry | undefined {
    const lease = this.leases.findLease(this.lease.token).unwrapOr(undefined)
    return lease === undefined ? undefined : this.requests.findRequest(lease, REQUEST_NUMBER).unwrapOr(undefined)
  }

  async submit (): Promise<void> {
    const lease = this.leases.findLease(this.lease.token).unwrapOr(undefined)
    if (lease !== undefined) this.requests.submitRequest(lease, REQUEST_NUMBER, { service: this.kind, prompt: 'p' })
  }

  async refuse (): Promise<void> {
    this.hasService = false
    await this.submit()
    this.hasService = true
  }

  async cancel (): Promise<void> {
    this.requests.cancelRequest(this.lease, REQUEST_NUMBER)
  }

  async passDeadline (): Promise<void> {
    await this.clock.advance(DEADLINE_MS)
  }

  async dispatch (): Promise<void> {
    this.scheduler.place()
    await this.clock.advance(0)
    const token = this.findEntry()?.getGeneration().unwrapOr(undefined)?.resumeToken
    if (token !== undefined) this.resumeTokensByAttempt.set(this.targets.attempts.length, token)
  }

  async giveUp (): Promise<void> {
    this.scheduler.refuse()
  }

  /** Establishes the connection of an attempt, and returns whether the request is sent. */
  connect (attempt: number): boolean {
    return this.getAttempt(attempt).connect()
  }

  /**
   * Fails a connection permanently. The product reopens a generation that has already sent tokens unless the target answers `notFound`,
   * so such a generation fails with this error.
   */
  async failConnect (attempt: number, bufferedTokens: number): Promise<void> {
    this.getAttempt(attempt).push(Result.err(bufferedTokens > 0 ? 'notFound' : 'unreachable'))
    this.getAttempt(attempt).reply(Result.err('notSent'))
  }

  async cut (attempt: number): Promise<void> {
    this.getAttempt(attempt).push(Result.err('malformed'))
    this.getAttempt(attempt).reply(Result.err('replyLost'))
  }

  async reopen (attempt: number): Promise<void> {
    this.getAttempt(attempt).push(Result.err('cut'))
    await this.clock.advance(REOPEN_DELAY_MS)
  }

  /** Delivers the token at an offset, or the reply of a call, to the owner. The last token is followed by the end of the stream. */
  async receive (attempt: number, offset: number, isLast: boolean): Promise<void> {
    const { push, reply } = this.getAttempt(attempt)
    push(Result.ok({ type: 'tokens', offset, tokens: [`${attempt}.${offset}`] }))
    if (isLast) push(Result.ok({ type: 'end', reason: 'stop', tokens: offset + 1 }))
    reply(Result.ok({ status: 200, body: attempt }))
  }

  /** Reads the first tokens event from an offset at the owner. */
  async deliver (offset: number): Promise<StreamEvent | undefined> {
    const entry = this.findEntry() as RequestEntry
    const signal = new AbortController().signal
    return await findTokensEvent(readEvents({ entry, offset, clock: this.clock, heartbeatMs: UNLIMITED_MS, signal, isHandingOver: () => false }))
  }

  /** Resumes a generation without the owner, and reads the first tokens event from an offset. */
  async resume (generation: number, offset: number, producedTokens: number, isComplete: boolean): Promise<StreamEvent | undefined> {
    const resumeToken = this.resumeTokensByAttempt.get(generation) as string
    const tokenPayload = this.resumeTokenCodec.decodeToken(resumeToken).unwrapOr(undefined)
    if (tokenPayload === undefined) return undefined
    const originalAttempt = this.targets.attempts[generation - 1] as ControlledTargets['attempts'][number]
    const tokensEvent = findTokensEvent(this.resumes.resumeGeneration({ tokenPayload, resumeToken, offset, signal: new AbortController().signal }))
    await this.clock.advance(0)
    const { push } = this.targets.attempts[generation - 1] as ControlledTargets['attempts'][number]
    this.targets.attempts[generation - 1] = originalAttempt
    const tokens = Array.from({ length: producedTokens }, (_, index) => `${generation}.${index}`)
    push(Result.ok({ type: 'tokens', offset: 0, tokens }))
    if (isComplete) push(Result.ok({ type: 'end', reason: 'stop', tokens: producedTokens }))
    return await tokensEvent
  }

  async expireLease (): Promise<void> {
    await this.leaseClock.advance(LEASE_MS)
  }

  async removeLease (): Promise<void> {
    await this.leaseClock.advance(LEASE_MS)
  }

  async beginDrain (): Promise<void> {
    this.isRejectingRequests = true
  }

  private getAttempt (attempt: number): ControlledTargets['attempts'][number] {
    return this.targets.attempts[attempt - 1] as ControlledTargets['attempts'][number]
  }

  private createRunnerDependencies (): RunnerDependencies {
    const { clock } = this
    let generationCount = 0
    return {
      clock,
      scheduler: this.scheduler,
      targetClient: this.targets,
      targetReadiness: { isReady: () => true, confirmReady: async () => true },
      harmfulRequests: createHarmfulRequests(clock, this.targets),
      resumeTokenCodec: this.resumeTokenCodec,
      observer: RequestMetrics.create({ metrics: MetricsRegistry.create({ clock }), clock, tokenIntervalMs: 43 }),
      createGenerationId: () => `g${++generationCount}`,
      maxBufferedTokens: 8
    }
  }
}

async function findTokensEvent (events: AsyncGenerator<StreamEvent>): Promise<StreamEvent | undefined> {
  for await (const event of events) {
    if (event.type === 'tokens') return event
  }
  return undefined
}

function createSnapshot (kind: RequestKind, hasService: boolean): Snapshot {
  const service = {
    name: kind,
    kind: kind === 'lookup' || kind === 'charge' ? 'call' as const : 'generation' as const,
    idempotent: kind !== 'charge',
    delivery: kind === 'streamed' ? 'stream' as const : 'whole' as const,
    runs: { model: 'm' },
    priority: 'normal' as const,
    deadlineMs: DEADLINE_MS,
    targets: TARGETS,
    copies: TARGETS.length,
    overrides: new Map()
  }
  const targets = TARGETS.map(name => ({ name, url: `http://${name}`, availabilityZone: 'a', region: 'r', fencing: 'ignored' as const }))
  return {
    revision: 1,
    services: new Map([[kind, service]]),
    targets: new Map(targets.map(target => [target.name, target])),
    workspaces: new Map([['w', { name: 'w', weight: 1, services: hasService ? [kind] : [] }]])
  }
}
