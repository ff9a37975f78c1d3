import { type Action } from './ownerSteps.js'
import {
  ABSENT, addAnswer, addToken, type Attempt, computeAnswerTokens, GENERATION_FACTOR, isCall, type ModelEntry, type ModelOutcome, OWNER,
  type RequestsState, setAttempt, setEntry
} from './RequestsState.js'

type Guards = ReadonlySet<string>

/** The lease expires, or is forgotten once its request has ended. */
export const ageLease: Action = (state, guards) => {
  const isUnused = ['absent', 'ended'].includes(getOwnerEntry(state).phase)
  const isUp = state.owner === 'running' || state.owner === 'refusing'
  if (!isUp || state.lease === 'forgotten') return []
  const forget = { name: 'forgetLease', next: setEntry({ ...state, lease: 'forgotten' as const }, OWNER, ABSENT) }
  if (state.lease === 'expired') return isUnused ? [forget] : []
  const expire = { name: 'expireLease', next: { ...state, lease: 'expired' as const } }
  const canForgetEarly = isUnused && !guards.has('retention')
  return canForgetEarly ? [expire, { name: 'forgetEntry', next: setEntry(state, OWNER, ABSENT) }] : [expire]
}

/** The owner's process dies, or is started again after a planned stop, as another incarnation. */
export const restart: Action = state => state.owner === 'restarted'
  ? []
  : [{ name: 'restart', next: endOwner(state, 'restarted') }]

/** The owner's instance begins a planned stop. */
export const beginDrain: Action = state => state.owner === 'running'
  ? [{ name: 'beginDrain', next: { ...state, owner: 'refusing' } }]
  : []

/** The planned stop ends once calls have ended and generations have ended or can be resumed elsewhere. */
export const endDrain: Action = (state, guards) => {
  if (state.owner !== 'refusing') return []
  const { phase, held } = getOwnerEntry(state)
  const isFinished = phase === 'absent' || phase === 'ended' || (!isCall(state) && held > 0)
  if (!isFinished && guards.has('drainWaits')) return []
  return [{ name: 'endDrain', next: { ...endOwner(state, 'stopped'), hasCutWork: !isFinished } }]
}

function endOwner (state: RequestsState, owner: RequestsState['owner']): RequestsState {
  return setEntry({ ...state, owner, lease: 'forgotten' }, OWNER, ABSENT)
}

/** A target receives what has left for it, perhaps long after the owner gave it up. */
export const run: Action = state => state.attempts.flatMap((attempt, index) => attempt.hasLeft && !attempt.hasRun
  ? [{ name: `run ${index + 1}`, next: setAttempt(state, index + 1, { hasRun: true }) }]
  : [])

/** A target produces a token or a reply. */
export const produce: Action = state => state.attempts.flatMap((attempt, index) => canProduce(state, attempt)
  ? [{ name: `produce ${index + 1}`, next: setAttempt(state, index + 1, { produced: attempt.produced + 1 }) }]
  : [])

function canProduce (state: RequestsState, { hasRun, produced }: Attempt): boolean {
  return hasRun && produced < computeAnswerTokens(state)
}

/** Any instance reads a generation at its target for the caller, from any offset. */
export const resume: Action = state => isCall(state)
  ? []
  : state.attempts.flatMap((attempt, index) => listResumed(state, attempt, index + 1))

function listResumed (state: RequestsState, { produced }: Attempt, generation: number): ReturnType<Action> {
  const isWhole = produced === computeAnswerTokens(state)
  if (state.kind === 'held' && !isWhole) return []
  const tokens = Array.from({ length: produced }, (_, offset) => ({
    name: `resume ${generation} ${offset}`,
    next: addToken(state, generation, offset)
  }))
  return isWhole ? [...tokens, { name: `resumeEnd ${generation}`, next: addAnswer(state, 'complete') }] : tokens
}

/** A token arrives at the caller. */
export const receiveToken: Action = (state, guards) => state.result === 'none'
  ? state.sentTokens.flatMap(token => {
    const received = takeToken(state, token, guards)
    return received === undefined ? [] : [{ name: `receiveToken ${token}`, next: { ...state, received } }]
  })
  : []

function takeToken ({ kind, received }: RequestsState, token: number, guards: Guards): readonly number[] | undefined {
  const offset = token % GENERATION_FACTOR
  const isSame = received.length === 0 || getGeneration(received[0] as number) === getGeneration(token)
  if (!isSame && guards.has('callerGeneration')) return kind === 'held' && offset === 0 ? [token] : undefined
  const isNext = offset === received.length || !guards.has('callerOffset')
  return isNext && received.length < MAX_RECEIVED ? [...received, token] : undefined
}

/** Tokens after which a caller without the check of offsets stops. */
const MAX_RECEIVED = 3

function getGeneration (token: number): number {
  return Math.floor(token / GENERATION_FACTOR)
}

/** An outcome arrives at the caller; a whole answer replaces an unknown outcome. */
export const receiveAnswer: Action = (state, guards) => state.answers
  .filter(outcome => isAcceptable(state, outcome, guards))
  .map(outcome => ({ name: `receiveAnswer ${outcome}`, next: { ...state, result: outcome } }))

function isAcceptable (state: RequestsState, outcome: ModelOutcome, guards: Guards): boolean {
  const isOpen = state.result === 'none' || (state.result === 'unknown' && outcome === 'complete')
  if (!isOpen) return false
  if (outcome !== 'complete' || isCall(state) || !guards.has('callerCount')) return true
  return state.received.length === computeAnswerTokens(state)
}

function getOwnerEntry (state: RequestsState): ModelEntry {
  return state.entries[OWNER] as ModelEntry
}
