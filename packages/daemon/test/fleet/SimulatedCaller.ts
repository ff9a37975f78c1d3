import { pickIndex } from '@fescuespoke/common'
import { type EndEvent, type StreamEvent, type SubmitRequest } from '@fescuespoke/schema'
import { type FleetEnvironment, type SimulatedInstance } from './SimulatedInstance.js'

/** Time without an event after which a stream is closed, in milliseconds. */
const SILENCE_TIMEOUT_MS = 2000

/** Maximum time for all attempts of one request, in milliseconds. */
const MAX_TOTAL_WAIT_MS = 240_000

/** Delay between attempts, in milliseconds. */
const RETRY_DELAY_MS = 300

/** Everything that a caller received for one request. */
export interface CallerReport {
  readonly owner: string
  /** Public id; empty when the caller was not granted a lease. */
  id: string
  readonly body: SubmitRequest
  readonly tokens: string[]
  /** Generations that delivered tokens. */
  readonly generations: Set<string>
  /** Generations that were announced, with or without tokens. */
  readonly announced: Set<string>
  /** Every end event received on any stream, including copies. */
  readonly ends: EndEvent[]
  /** Gaps between tokens, and generations announced after tokens of another one. */
  readonly faults: string[]
  /** End event of the stream that delivered the tokens. */
  final: EndEvent | undefined
  resumeToken: string
  wasHandedOver: boolean
}

/** Options of one simulated request. */
export interface CallerOptions {
  readonly environment: FleetEnvironment
  readonly listInstances: () => SimulatedInstance[]
  readonly owner: SimulatedInstance
  readonly workspace: string
  readonly number: number
  readonly body: SubmitRequest
  /** Number of copies sent to randomly chosen instances. */
  readonly copies: number
}

/** Simulates a caller that does not use the caller library: sends one request and retries until it receives an end event. */
export async function runCaller (options: CallerOptions): Promise<CallerReport> {
  const report = createReport(options)
  const lease = await withTimeout(options.environment, options.owner.grantLease(options.workspace))
  if (lease === undefined) return report
  report.id = `${lease.split('~').slice(0, 3).join('~')}~${options.number}`
  for (let copy = 0; copy < options.copies; copy++) sendCopy(options, report, lease)
  await runAttempts(options, report, lease)
  return report
}

function createReport (options: CallerOptions): CallerReport {
  return {
    owner: options.owner.options.name, id: '', body: options.body, tokens: [], generations: new Set(), announced: new Set(), ends: [], faults: [], final: undefined, resumeToken: '', wasHandedOver: false
  }
}

async function sendCopy (options: CallerOptions, report: CallerReport, lease: string): Promise<void> {
  const { environment, number, body } = options
  await environment.clock.sleep(pickIndex(environment.random, 3000))
  const instance = pickInstance(options)
  if (instance === undefined) return
  const end = await readStream(environment, instance, instance.openRequest(lease, number, body, 0), () => undefined)
  if (end !== undefined && end.type === 'end') report.ends.push(end)
}

async function runAttempts (options: CallerOptions, report: CallerReport, lease: string): Promise<void> {
  const { environment, owner } = options
  const endMs = environment.clock.nowMs() + MAX_TOTAL_WAIT_MS
  let instance: SimulatedInstance | undefined = owner
  let isResuming = false
  while (environment.clock.nowMs() < endMs) {
    const last: StreamEvent | undefined = instance === undefined ? undefined : await runAttempt(options, report, lease, instance, isResuming)
    if (last?.type === 'end' && (last.outcome !== 'unknown' || isResuming || report.resumeToken === '')) return
    isResuming ||= last !== undefined && report.resumeToken !== ''
    await environment.clock.sleep(RETRY_DELAY_MS)
    instance = pickInstance(options)
  }
}

async function runAttempt (
  { environment, number, body }: CallerOptions, report: CallerReport, lease: string, instance: SimulatedInstance, isResuming: boolean
): Promise<StreamEvent | undefined> {
  const offset = report.tokens.length
  const events = isResuming ? instance.resumeRequest(report.resumeToken, offset) : instance.openRequest(lease, number, body, offset)
  const last = await readStream(environment, instance, events, event => observeEvent(report, event))
  if (last?.type === 'end') {
    report.ends.push(last)
    report.final = last
  }
  return last
}

/** Reads a stream until an end event, a handover or the silence timeout. */
async function readStream (
  environment: FleetEnvironment, instance: SimulatedInstance, events: AsyncGenerator<StreamEvent>, onEvent: (event: StreamEvent) => void
): Promise<StreamEvent | undefined> {
  const connection = environment.links.connect('caller', instance.options.name)
  while (true) {
    const next = await withTimeout(environment, events.next())
    if (next === undefined || next.done === true || !connection.canDeliver() || !instance.isRunning()) return undefined
    onEvent(next.value)
    if (next.value.type === 'end' || next.value.type === 'handover') {
      await events.return(undefined)
      return next.value
    }
  }
}

async function withTimeout<T> (environment: FleetEnvironment, operation: Promise<T>): Promise<T | undefined> {
  const stop = new AbortController()
  const timeout = environment.clock.sleep(SILENCE_TIMEOUT_MS, stop.signal).then(() => undefined)
  const first = await Promise.race([operation, timeout])
  stop.abort()
  return first
}

function pickInstance ({ environment, listInstances }: CallerOptions): SimulatedInstance | undefined {
  const reachable = listInstances().filter(instance => environment.links.isOpen('caller', instance.options.name))
  return reachable[pickIndex(environment.random, reachable.length)]
}

function observeEvent (report: CallerReport, event: StreamEvent): void {
  if (event.type === 'handover') report.wasHandedOver = true
  if (event.type === 'generation') observeGeneration(report, event.generation, event.resumeToken)
  if (event.type !== 'tokens') return
  if (event.offset > report.tokens.length) report.faults.push(`gap before ${event.offset}`)
  report.generations.add(event.generation)
  for (const token of event.tokens.slice(report.tokens.length - event.offset)) report.tokens.push(token)
}

function observeGeneration (report: CallerReport, generation: string, resumeToken: string): void {
  report.announced.add(generation)
  if (report.tokens.length > 0 && !report.generations.has(generation)) report.faults.push(`generation ${generation} after tokens`)
  report.resumeToken = resumeToken
}
