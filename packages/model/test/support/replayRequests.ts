import { type ModelEntry, type RequestsState } from '../../src/index.js'
import { OwnerDriver } from './OwnerDriver.js'

/** Context of a step. */
interface StepContext {
  readonly owner: OwnerDriver
  /** State before the step. */
  readonly state: RequestsState
  readonly parameters: readonly number[]
}

/** Executes a step, and returns a description of the mismatch with the model, or `undefined`. */
type StepHandler = (context: StepContext) => Promise<string | undefined> | Promise<void>

/** Result of replaying a trace on the product's code. */
export interface ReplayedRequests {
  /** Number of steps that were replayed without a difference. */
  readonly stepCount: number
  /** First difference between the model and the product; `undefined` if there is none. */
  readonly difference: string | undefined
}

/**
 * Replays a trace on the product's owner and compares the state of the request with the model after each step.
 * @param stepNames - Names of the steps.
 * @param states - States of the model, beginning with the initial state.
 */
export async function replayRequests (stepNames: readonly string[], states: readonly RequestsState[]): Promise<ReplayedRequests> {
  const owner = new OwnerDriver((states[0] as RequestsState).kind)
  for (const [index, name] of stepNames.entries()) {
    const [action = '', ...parameters] = name.split(' ')
    const state = states[index] as RequestsState
    const handle = HANDLERS[action] ?? skipStep
    const mismatch = await handle({ owner, state, parameters: parameters.map(Number) })
    await owner.clock.advance(0)
    owner.leases.pruneLeases()
    const difference = mismatch ?? findDifference(owner, states[index + 1] as RequestsState)
    if (difference !== undefined) return { stepCount: index, difference: `${stepNames.slice(0, index + 1).join('; ')}: ${difference}` }
  }
  return { stepCount: stepNames.length, difference: undefined }
}

async function skipStep (): Promise<undefined> {
  return undefined
}

/** Handlers by action. Actions without a handler belong to the environment or to other instances, and do not affect the owner. */
const HANDLERS: Record<string, StepHandler> = {
  submit: async ({ owner, parameters: [process] }) => { if (process === 0) await owner.submit() },
  refuse: async ({ owner }) => await owner.refuse(),
  cancel: async ({ owner }) => await owner.cancel(),
  passDeadline: async ({ owner }) => await owner.passDeadline(),
  dispatch: async ({ owner }) => await owner.dispatch(),
  giveUp: async ({ owner }) => await owner.giveUp(),
  connect: async ({ owner, parameters: [attempt = 0] }) => owner.connect(attempt) ? undefined : 'the product withholds what the model sends',
  withhold: async ({ owner, parameters: [attempt = 0] }) => owner.connect(attempt) ? 'the product sends what the model withholds' : undefined,
  failConnect: async ({ owner, state, parameters: [attempt = 0] }) => await owner.failConnect(attempt, getOwnerEntry(state).bufferedTokens),
  cut: async ({ owner, parameters: [attempt = 0] }) => await owner.cut(attempt),
  reopen: async ({ owner, parameters: [attempt = 0] }) => await owner.reopen(attempt),
  receive: async ({ owner, state, parameters: [attempt = 0] }) => {
    const bufferedTokens = getOwnerEntry(state).bufferedTokens
    await owner.receive(attempt, bufferedTokens, bufferedTokens === 1)
  },
  deliver: async ({ owner, state, parameters: [, offset = 0] }) => {
    const event = await owner.deliver(offset)
    return describeToken(event) === `g${getOwnerEntry(state).generation} ${offset}` ? undefined : `the reader received ${describeToken(event)}`
  },
  resume: async ({ owner, state, parameters: [generation = 0, offset = 0] }) => {
    const producedTokens = state.attempts[generation - 1]?.producedTokens ?? 0
    const event = await owner.resume(generation, offset, producedTokens, producedTokens === 2)
    return describeToken(event) === `g${generation} ${offset}` ? undefined : `the resumed reader received ${describeToken(event)}`
  },
  expireLease: async ({ owner }) => await owner.expireLease(),
  removeLease: async ({ owner }) => await owner.removeLease(),
  beginDrain: async ({ owner }) => await owner.beginDrain()
}

function describeToken (event: Awaited<ReturnType<OwnerDriver['deliver']>>): string {
  return event?.type === 'tokens' ? `${event.generation} ${event.offset}` : 'no tokens'
}

function getOwnerEntry (state: RequestsState): ModelEntry {
  return state.entries[0] as ModelEntry
}

function findDifference (owner: OwnerDriver, state: RequestsState): string | undefined {
  if (state.owner !== 'running' && state.owner !== 'refusing') return undefined
  const expected = describeModel(state)
  const actual = describeProduct(owner, state)
  return expected === actual ? undefined : `the model has ${expected}, the product has ${actual}`
}

function describeModel (state: RequestsState): string {
  const { phase, outcome, bufferedTokens, generation, deliveredGeneration } = getOwnerEntry(state)
  return [phase, outcome, bufferedTokens, isCall(state) ? 0 : generation, deliveredGeneration > 0].join(' ')
}

function describeProduct (owner: OwnerDriver, state: RequestsState): string {
  const entry = owner.findEntry()
  if (entry === undefined) return 'absent none 0 0 false'
  const outcome = entry.getEnd().mapOr<string>('none', end => end.outcome)
  const bufferedTokens = isCall(state) ? entry.getReply().mapOr(0, () => 1) : entry.tokens.getEndOffset()
  const generation = entry.getGeneration().mapOr(0, ({ generation: name }) => Number(name.slice(1)))
  return [entry.getPhase(), outcome, bufferedTokens, generation, entry.hasDeliveredTokens()].join(' ')
}

function isCall ({ kind }: RequestsState): boolean {
  return kind === 'lookup' || kind === 'charge'
}
