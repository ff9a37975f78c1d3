import { type Action } from './ownerSteps.js'
import {
  ABSENT_ENTRY, addSentOutcome, addSentToken, GENERATION_FACTOR, getAnswerTokenCount, isCall, type ModelAttempt, type ModelEntry,
  type ModelOutcome, OWNER, type RequestsState, setAttempt, setEntry
} from './RequestsState.js'

type Guards = ReadonlySet<string>

/** The lease expires. An expired lease is removed when its request was never received or has ended. */
export const ageLease: Action = (state, guards) => {
  const isUnusedOrEnded = ['absent', 'ended'].includes(getOwnerEntry(state).phase)
  const isUp = state.owner === 'running' || state.owner === 'refusing'
  if (!isUp || state.lease === 'removed') return []
  const removeLease = { name: 'removeLease', next: setEntry({ ...state, lease: 'removed' as const }, OWNER, ABSENT_ENTRY) }
  if (state.lease === 'expired') return isUnusedOrEnded ? [removeLease] : []
  const expireLease = { name: 'expireLease', next: { ...state, lease: 'expired' as const } }
  const canRemoveEntryEarly = isUnusedOrEnded && !guards.has('retention')
  return canRemoveEntryEarly ? [expireLease, { name: 'removeEntry', next: setEntry(state, OWNER, ABSENT_ENTRY) }] : [expireLease]
}

/** The owner's process crashes or has stopped, and restarts as a new incarnation. */
export const restart: Action = state => state.owner === 'restarted'
  ? []
  : [{ name: 'restart', next: endOwnerProcess(state, 'restarted') }]

/** The owner's instance begins to drain. */
export const beginDrain: Action = state => state.owner === 'running'
  ? [{ name: 'beginDrain', next: { ...state, owner: 'refusing' } }]
  : []

/** The drain ends once calls have ended, and generations have ended or can be resumed at another instance. */
export const endDrain: Action = (state, guards) => {
  if (state.owner !== 'refusing') return []
  const { phase, bufferedTokens } = getOwnerEntry(state)
  const isFinished = phase === 'absent' || phase === 'ended' || (!isCall(state) && bufferedTokens > 0)
  if (!isFinished && guards.has('drainWaits')) return []
  return [{ name: 'endDrain', next: { ...endOwnerProcess(state, 'stopped'), hasInterruptedWork: !isFinished } }]
}

function endOwnerProcess (state: RequestsState, owner: RequestsState['owner']): RequestsState {
  return setEntry({ ...state, owner, lease: 'removed' }, OWNER, ABSENT_ENTRY)
}

/** A target receives a request and starts to run it, possibly long after the owner has abandoned the attempt. */
export const run: Action = state => state.attempts.flatMap((attempt, index) => attempt.hasSentBytes && !attempt.hasRun
  ? [{ name: `run ${index + 1}`, next: setAttempt(state, index + 1, { hasRun: true }) }]
  : [])

/** A target produces a token of a generation or the reply of a call. */
export const produce: Action = state => state.attempts.flatMap((attempt, index) => canProduce(state, attempt)
  ? [{ name: `produce ${index + 1}`, next: setAttempt(state, index + 1, { producedTokens: attempt.producedTokens + 1 }) }]
  : [])

function canProduce (state: RequestsState, { hasRun, producedTokens }: ModelAttempt): boolean {
  return hasRun && producedTokens < getAnswerTokenCount(state)
}

/** The caller resumes a generation at any instance and from any offset; the instance reads it from the target. */
export const resume: Action = state => isCall(state)
  ? []
  : state.attempts.flatMap((attempt, index) => listResumeSteps(state, attempt, index + 1))

function listResumeSteps (state: RequestsState, { producedTokens }: ModelAttempt, generation: number): ReturnType<Action> {
  const isComplete = producedTokens === getAnswerTokenCount(state)
  if (state.kind === 'buffered' && !isComplete) return []
  const tokens = Array.from({ length: producedTokens }, (_, offset) => ({
    name: `resume ${generation} ${offset}`,
    next: addSentToken(state, generation, offset)
  }))
  return isComplete ? [...tokens, { name: `resumeEnd ${generation}`, next: addSentOutcome(state, 'complete') }] : tokens
}

/** A token arrives at the caller. */
export const receiveToken: Action = (state, guards) => state.result === 'none'
  ? state.sentTokens.flatMap(token => {
    const receivedTokens = appendToken(state, token, guards)
    return receivedTokens === undefined ? [] : [{ name: `receiveToken ${token}`, next: { ...state, receivedTokens } }]
  })
  : []

function appendToken ({ kind, receivedTokens }: RequestsState, token: number, guards: Guards): readonly number[] | undefined {
  const offset = token % GENERATION_FACTOR
  const isSameGeneration = receivedTokens.length === 0 || getGeneration(receivedTokens[0] as number) === getGeneration(token)
  if (!isSameGeneration && guards.has('callerGeneration')) return kind === 'buffered' && offset === 0 ? [token] : undefined
  const isNextOffset = offset === receivedTokens.length || !guards.has('callerOffset')
  return isNextOffset && receivedTokens.length < MAX_RECEIVED_TOKENS ? [...receivedTokens, token] : undefined
}

/** Maximum number of tokens that a caller accepts. Without the check of offsets, the number would be unbounded. */
const MAX_RECEIVED_TOKENS = 3

function getGeneration (token: number): number {
  return Math.floor(token / GENERATION_FACTOR)
}

/** An outcome arrives at the caller. A complete answer replaces an unknown outcome. */
export const receiveAnswer: Action = (state, guards) => state.sentOutcomes
  .filter(outcome => isAcceptable(state, outcome, guards))
  .map(outcome => ({ name: `receiveAnswer ${outcome}`, next: { ...state, result: outcome } }))

function isAcceptable (state: RequestsState, outcome: ModelOutcome, guards: Guards): boolean {
  const canReplaceResult = state.result === 'none' || (state.result === 'unknown' && outcome === 'complete')
  if (!canReplaceResult) return false
  if (outcome !== 'complete' || isCall(state) || !guards.has('callerCount')) return true
  return state.receivedTokens.length === getAnswerTokenCount(state)
}

function getOwnerEntry (state: RequestsState): ModelEntry {
  return state.entries[OWNER] as ModelEntry
}
