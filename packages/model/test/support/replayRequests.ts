import { type ModelEntry, type RequestsState } from '../../src/index.js'
import { RealOwner } from './RealOwner.js'

/** What a step needs besides the owner. */
interface StepContext {
  readonly owner: RealOwner
  /** State before the step. */
  readonly state: RequestsState
  readonly numbers: readonly number[]
}

/** Takes a step and returns what went wrong, if anything. */
type StepHandler = (context: StepContext) => Promise<string | undefined> | Promise<void>

/** What became of a trace on the real code. */
export interface ReplayedRequests {
  /** Number of steps taken. */
  readonly steps: number
  /** First difference between the model and the code. */
  readonly difference: string | undefined
}

/**
 * Takes the steps of a trace on the real owner and compares the states of the request after each.
 * @param names - Names of the steps.
 * @param states - States of the model, from the initial one on.
 */
export async function replayRequests (names: readonly string[], states: readonly RequestsState[]): Promise<ReplayedRequests> {
  const owner = new RealOwner((states[0] as RequestsState).kind)
  for (const [index, name] of names.entries()) {
    const [action = '', ...parameters] = name.split(' ')
    const state = states[index] as RequestsState
    const handle = HANDLERS[action] ?? takeNoStep
    const problem = await handle({ owner, state, numbers: parameters.map(Number) })
    await owner.clock.advance(0)
    owner.leases.pruneLeases()
    const difference = problem ?? findDifference(owner, states[index + 1] as RequestsState)
    if (difference !== undefined) return { steps: index, difference: `${names.slice(0, index + 1).join('; ')}: ${difference}` }
  }
  return { steps: names.length, difference: undefined }
}

async function takeNoStep (): Promise<undefined> {
  return undefined
}

/** Steps of the environment alone, and of instances that are not the owner, do nothing to the owner. */
const HANDLERS: Record<string, StepHandler> = {
  submit: async ({ owner, numbers: [process] }) => { if (process === 0) await owner.submit() },
  refuse: async ({ owner }) => await owner.refuse(),
  cancel: async ({ owner }) => await owner.cancel(),
  passDeadline: async ({ owner }) => await owner.passDeadline(),
  dispatch: async ({ owner }) => await owner.dispatch(),
  giveUp: async ({ owner }) => await owner.giveUp(),
  connect: async ({ owner, numbers: [attempt = 0] }) => owner.connect(attempt) ? undefined : 'the code withholds what the model sends',
  withhold: async ({ owner, numbers: [attempt = 0] }) => owner.connect(attempt) ? 'the code sends what the model withholds' : undefined,
  failConnect: async ({ owner, state, numbers: [attempt = 0] }) => await owner.failConnect(attempt, getOwnerEntry(state).held),
  cut: async ({ owner, numbers: [attempt = 0] }) => await owner.cut(attempt),
  reopen: async ({ owner, numbers: [attempt = 0] }) => await owner.reopen(attempt),
  take: async ({ owner, state, numbers: [attempt = 0] }) => {
    const held = getOwnerEntry(state).held
    await owner.take(attempt, held, held === 1)
  },
  deliver: async ({ owner, state, numbers: [, offset = 0] }) => {
    const event = await owner.deliver(offset)
    return describeToken(event) === `g${getOwnerEntry(state).generation} ${offset}` ? undefined : `the reader got ${describeToken(event)}`
  },
  resume: async ({ owner, state, numbers: [generation = 0, offset = 0] }) => {
    const produced = state.attempts[generation - 1]?.produced ?? 0
    const event = await owner.resume(generation, offset, produced, produced === 2)
    return describeToken(event) === `g${generation} ${offset}` ? undefined : `the resumed reader got ${describeToken(event)}`
  },
  expireLease: async ({ owner }) => await owner.expireLease(),
  forgetLease: async ({ owner }) => await owner.forgetLease(),
  beginDrain: async ({ owner }) => await owner.beginDrain()
}

function describeToken (event: Awaited<ReturnType<RealOwner['deliver']>>): string {
  return event?.type === 'tokens' ? `${event.generation} ${event.offset}` : 'nothing'
}

function getOwnerEntry (state: RequestsState): ModelEntry {
  return state.entries[0] as ModelEntry
}

function findDifference (owner: RealOwner, state: RequestsState): string | undefined {
  if (state.owner !== 'running' && state.owner !== 'refusing') return undefined
  const wanted = describeModel(state)
  const found = describeReal(owner, state)
  return wanted === found ? undefined : `the model says ${wanted}, the code says ${found}`
}

function describeModel (state: RequestsState): string {
  const { phase, outcome, held, generation, delivered } = getOwnerEntry(state)
  return [phase, outcome, held, isCall(state) ? 0 : generation, delivered > 0].join(' ')
}

function describeReal (owner: RealOwner, state: RequestsState): string {
  const entry = owner.findEntry()
  if (entry === undefined) return 'absent none 0 0 false'
  const outcome = entry.getEnd().mapOr<string>('none', end => end.outcome)
  const held = isCall(state) ? entry.getReply().mapOr(0, () => 1) : entry.tokens.getEndOffset()
  const generation = entry.getGeneration().mapOr(0, ({ generation: name }) => Number(name.slice(1)))
  return [entry.getPhase(), outcome, held, generation, entry.hasDeliveredTokens()].join(' ')
}

function isCall ({ kind }: RequestsState): boolean {
  return kind === 'lookup' || kind === 'charge'
}
