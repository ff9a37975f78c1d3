import { MetricsRegistry, SeededRandom, type Snapshot, VirtualClock } from '@fescuespoke/common'
import {
  type Lease, LeaseRegistry, type RequestEntry, RequestService, ResumeService, ResumeTokenCodec, type RunnerDependencies
} from '@fescuespoke/daemon'
import { type StreamEvent } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { RequestMetrics } from '../../../daemon/src/metrics/RequestMetrics.js'
import { readEvents } from '../../../daemon/src/requests/readEvents.js'
import { type RequestKind } from '../../src/index.js'
import { ControlledScheduler } from './ControlledScheduler.js'
import { ControlledTargets } from './ControlledTargets.js'

const DEADLINE_MS = 1_000_000
const LEASE_MS = 60_000
const FOREVER_MS = 1_000_000_000
const REOPEN_MS = 100
const NUMBER = 1
const TARGETS = ['t1', 't2', 't3']

/** The code of an owner and its parts under the steps of a trace. */
export class RealOwner {
  readonly clock = VirtualClock.create()
  readonly leaseClock = VirtualClock.create()
  readonly targets = new ControlledTargets()
  readonly scheduler = new ControlledScheduler(this.clock)
  readonly leases = LeaseRegistry.create({
    instance: 'i', incarnation: 'n', clock: this.leaseClock, random: SeededRandom.create(1), leaseMs: LEASE_MS, retentionMs: LEASE_MS, maxLeases: 10
  })

  readonly lease: Lease = this.leases.grantLease('w').unwrapOrElse(() => { throw new Error('no lease') })
  readonly resumeTokens = ResumeTokenCodec.create({ fleetKey: 'key-of-this-test' })
  readonly requests: RequestService
  readonly resumes = ResumeService.create({ clock: this.clock, targetClient: this.targets, resumeTokenCodec: this.resumeTokens })
  private readonly tokens = new Map<number, string>()
  private isRefusing = false
  private hasService = true

  constructor (private readonly kind: RequestKind) {
    this.requests = RequestService.create({
      clock: this.clock,
      leases: this.leases,
      runnerDependencies: this.createTools(),
      getSnapshot: () => createSnapshot(kind, this.hasService),
      isRejectingRequests: () => this.isRefusing,
      isRecovering: () => false,
      defaultDeadlineMs: DEADLINE_MS,
      maxRequests: 100,
      answerRetentionMs: FOREVER_MS
    })
  }

  /** Finds the entry through the lease, as a copy that arrives now would. */
  findEntry (): RequestEntry | undefined {
    const lease = this.leases.findLease(this.lease.token).unwrapOr(undefined)
    return lease === undefined ? undefined : this.requests.findRequest(lease, NUMBER).unwrapOr(undefined)
  }

  async submit (): Promise<void> {
    const lease = this.leases.findLease(this.lease.token).unwrapOr(undefined)
    if (lease !== undefined) this.requests.submitRequest(lease, NUMBER, { service: this.kind, prompt: 'p' })
  }

  async refuse (): Promise<void> {
    this.hasService = false
    await this.submit()
    this.hasService = true
  }

  async cancel (): Promise<void> {
    this.requests.cancelRequest(this.lease, NUMBER)
  }

  async passDeadline (): Promise<void> {
    await this.clock.advance(DEADLINE_MS)
  }

  async dispatch (): Promise<void> {
    this.scheduler.place()
    await this.clock.advance(0)
    const token = this.findEntry()?.getGeneration().unwrapOr(undefined)?.resumeToken
    if (token !== undefined) this.tokens.set(this.targets.attempts.length, token)
  }

  async giveUp (): Promise<void> {
    this.scheduler.refuse()
  }

  /** Establishes the connection of an attempt; tells whether the request leaves. */
  connect (attempt: number): boolean {
    return this.getAttempt(attempt).connect()
  }

  /** Fails a connection for good; the code opens a generation that has brought tokens again unless the target does not know it. */
  async failConnect (attempt: number, held: number): Promise<void> {
    this.getAttempt(attempt).push(Result.err(held > 0 ? 'notFound' : 'unreachable'))
    this.getAttempt(attempt).reply(Result.err('notSent'))
  }

  async cut (attempt: number): Promise<void> {
    this.getAttempt(attempt).push(Result.err('malformed'))
    this.getAttempt(attempt).reply(Result.err('replyLost'))
  }

  async reopen (attempt: number): Promise<void> {
    this.getAttempt(attempt).push(Result.err('cut'))
    await this.clock.advance(REOPEN_MS)
  }

  /** Passes the token at an offset on, or the reply of a call; the last token is followed by the end. */
  async take (attempt: number, offset: number, isLast: boolean): Promise<void> {
    const { push, reply } = this.getAttempt(attempt)
    push(Result.ok({ type: 'tokens', offset, tokens: [`${attempt}.${offset}`] }))
    if (isLast) push(Result.ok({ type: 'end', reason: 'stop', tokens: offset + 1 }))
    reply(Result.ok({ status: 200, body: attempt }))
  }

  /** Reads one event of tokens at the owner. */
  async deliver (offset: number): Promise<StreamEvent | undefined> {
    const entry = this.findEntry() as RequestEntry
    const signal = new AbortController().signal
    return await findTokens(readEvents({ entry, offset, clock: this.clock, heartbeatMs: FOREVER_MS, signal, isHandingOver: () => false }))
  }

  /** Reads one event of tokens of a generation past the owner. */
  async resume (generation: number, offset: number, produced: number, isWhole: boolean): Promise<StreamEvent | undefined> {
    const resumeToken = this.tokens.get(generation) as string
    const name = this.resumeTokens.decodeToken(resumeToken).unwrapOr(undefined)
    if (name === undefined) return undefined
    const controlled = this.targets.attempts[generation - 1] as ControlledTargets['attempts'][number]
    const found = findTokens(this.resumes.resumeGeneration({ tokenPayload: name, resumeToken, offset, signal: new AbortController().signal }))
    await this.clock.advance(0)
    const { push } = this.targets.attempts[generation - 1] as ControlledTargets['attempts'][number]
    this.targets.attempts[generation - 1] = controlled
    const tokens = Array.from({ length: produced }, (_, index) => `${generation}.${index}`)
    push(Result.ok({ type: 'tokens', offset: 0, tokens }))
    if (isWhole) push(Result.ok({ type: 'end', reason: 'stop', tokens: produced }))
    return await found
  }

  async expireLease (): Promise<void> {
    await this.leaseClock.advance(LEASE_MS)
  }

  async forgetLease (): Promise<void> {
    await this.leaseClock.advance(LEASE_MS)
  }

  async beginDrain (): Promise<void> {
    this.isRefusing = true
  }

  private getAttempt (attempt: number): ControlledTargets['attempts'][number] {
    return this.targets.attempts[attempt - 1] as ControlledTargets['attempts'][number]
  }

  private createTools (): RunnerDependencies {
    const { clock } = this
    let generations = 0
    return {
      clock,
      scheduler: this.scheduler,
      targetClient: this.targets,
      targetReadiness: { isReady: () => true, confirmReady: async () => true },
      resumeTokenCodec: this.resumeTokens,
      observer: RequestMetrics.create({ metrics: MetricsRegistry.create({ clock }), clock, tokenIntervalMs: 43 }),
      createGenerationName: () => `g${++generations}`,
      maxBufferedTokens: 8
    }
  }
}

async function findTokens (events: AsyncGenerator<StreamEvent>): Promise<StreamEvent | undefined> {
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
