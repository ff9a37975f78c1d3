import { type Step } from '../explore/Model.js'
import {
  addSentOutcome, addSentToken, getAnswerTokenCount, isCall, MAX_MODEL_ATTEMPTS, type ModelEntry, type ModelOutcome, OTHER_INSTANCE, OWNER,
  type RequestsState, setAttempt, setEntry, SUCCESSOR
} from './RequestsState.js'

type Guards = ReadonlySet<string>

/** Returns the steps of one action, or none when the action is not enabled. */
export type Action = (state: RequestsState, guards: Guards) => ReadonlyArray<Step<RequestsState>>

const PROCESSES = [OWNER, SUCCESSOR, OTHER_INSTANCE]

/** A copy of the request arrives at an instance. This may happen at any time and any number of times. */
export const submit: Action = (state, guards) => PROCESSES
  .filter(process => isUp(state, process))
  .map(process => ({ name: `submit ${process}`, next: acceptCopy(state, process, guards) }))

function isUp ({ owner }: RequestsState, process: number): boolean {
  const isRunningByProcess = [owner === 'running' || owner === 'refusing', owner === 'restarted', true]
  return isRunningByProcess[process] as boolean
}

function acceptCopy (state: RequestsState, process: number, guards: Guards): RequestsState {
  if (guards.has(ACCEPTANCE_GUARDS[process] as string) && lacksLease(state, process)) return addSentOutcome(state, 'unknown')
  const { phase, outcome } = getEntry(state, process)
  if (phase === 'ended') return addSentOutcome(state, outcome)
  if (phase !== 'absent') return state
  if (process !== OWNER) return setEntry(state, process, { phase: 'waiting' })
  const isRefused = state.owner === 'refusing' || state.lease === 'expired'
  return isRefused ? refuseCopy(state, guards) : setEntry(state, process, { phase: 'waiting' })
}

/** Guards that prevent a process from accepting a request, by index of the process. */
const ACCEPTANCE_GUARDS = ['removedLeaseCheck', 'incarnationCheck', 'ownerCheck']

function lacksLease (state: RequestsState, process: number): boolean {
  return process !== OWNER || state.lease === 'removed'
}

function refuseCopy (state: RequestsState, guards: Guards): RequestsState {
  const answeredState = addSentOutcome(state, 'notRun')
  return guards.has('tombstone') ? setEntry(answeredState, OWNER, { phase: 'ended', outcome: 'notRun' }) : answeredState
}

/** The owner refuses a request for lack of capacity before it sends anything. A copy may arrive again later. */
export const refuse: Action = (state, guards) => {
  const isRefusable = getEntry(state, OWNER).phase === 'absent' && isUp(state, OWNER) && state.lease === 'live'
  return isRefusable ? [{ name: 'refuse', next: refuseCopy(state, guards) }] : []
}

/** The caller cancels the request at the owner. A request that has not arrived yet will not run. */
export const cancel: Action = (state, guards) => {
  if (!isUp(state, OWNER) || state.lease === 'removed') return []
  const { phase } = getEntry(state, OWNER)
  if (phase === 'absent') return [{ name: 'cancel', next: refuseCopy(state, guards) }]
  if (phase === 'ended') return []
  if (phase === 'dispatched' && isCall(state)) return [{ name: 'cancel', next: addSentOutcome(state, 'unknown') }]
  return [{ name: 'cancel', next: endUnfinished(state, OWNER, 'cancelled') }]
}

/** The deadline of the request passes. */
export const passDeadline: Action = state => listUnfinished(state).map(process => {
  const hasCallAttempt = isCall(state) && getEntry(state, process).attempt !== 0
  const outcome = hasCallAttempt ? 'unknown' : 'failed'
  return { name: `passDeadline ${process}`, next: endUnfinished(state, process, outcome) }
})

/** Ends a request that may have been dispatched. The connection of a call stays open for a late reply. */
function endUnfinished (state: RequestsState, process: number, dispatchedOutcome: ModelOutcome): RequestsState {
  const entry = getEntry(state, process)
  const outcome = entry.phase === 'dispatched' ? dispatchedOutcome : 'notRun'
  const next = isCall(state) || entry.attempt === 0 ? state : setAttempt(state, entry.attempt, { phase: 'closed' })
  return endEntry(next, process, outcome)
}

/** The process chooses a target and starts to open a connection. */
export const dispatch: Action = (state, guards) => listUnfinished(state)
  .filter(process => canDispatch(state, getEntry(state, process), guards))
  .map(process => ({ name: `dispatch ${process}`, next: startAttempt(state, process) }))

function canDispatch (state: RequestsState, entry: ModelEntry, guards: Guards): boolean {
  if (entry.attempt !== 0 || state.attempts.length >= MAX_MODEL_ATTEMPTS) return false
  return entry.deliveredGeneration === 0 || !guards.has('deliveredFlag')
}

function startAttempt (state: RequestsState, process: number): RequestsState {
  const attempt = { process, phase: 'connecting', hasSentBytes: false, hasRun: false, producedTokens: 0 } as const
  const attempts = [...state.attempts, attempt]
  const entry = getEntry(state, process)
  const phase = isCall(state) ? entry.phase : 'dispatched'
  return setEntry({ ...state, attempts }, process, { attempt: attempts.length, generation: attempts.length, bufferedTokens: 0, phase })
}

/** The connection is established, and the request is sent unless it has ended in the meantime. */
export const connect: Action = (state, guards) => listAttempts(state, 'connecting').map(({ number, process }) => {
  const isCurrentAttempt = isCurrent(state, process, number)
  if (!isCurrentAttempt && guards.has('checkBeforeSend')) return { name: `withhold ${number}`, next: setAttempt(state, number, { phase: 'closed' }) }
  const opened = setAttempt(state, number, { phase: 'open', hasSentBytes: true })
  return { name: `connect ${number}`, next: isCurrentAttempt ? setEntry(opened, process, { phase: 'dispatched' }) : opened }
})

/** The connection cannot be established. */
export const failConnect: Action = (state, guards) => listAttempts(state, 'connecting').map(({ number, process }) => {
  const closed = setAttempt(state, number, { phase: 'closed' })
  if (!isCurrent(state, process, number)) return { name: `failConnect ${number}`, next: closed }
  const phase = mayHaveRun(state, process, number, guards) ? 'dispatched' : 'waiting'
  return { name: `failConnect ${number}`, next: setEntry(closed, process, { attempt: 0, phase }) }
})

/**
 * Returns whether the request may have run. A failed connection does not exclude this when bytes were sent earlier, on a connection that
 * was lost and reopened.
 */
function mayHaveRun (state: RequestsState, process: number, number: number, guards: Guards): boolean {
  const isCounted = (index: number): boolean => index !== number - 1 || guards.has('bytesSentEarlier')
  const hasSentBytes = state.attempts.some((attempt, index) => attempt.process === process && attempt.hasSentBytes && isCounted(index))
  return hasSentBytes || getEntry(state, process).bufferedTokens > 0
}

/** An open connection is lost. The connection to a generation may be reopened. */
export const cut: Action = (state, guards) => listAttempts(state, 'open').flatMap(({ number, process }) => {
  const closed = setAttempt(state, number, { phase: 'closed' })
  const isCurrentAttempt = isCurrent(state, process, number)
  const lostStep = { name: `cut ${number}`, next: isCurrentAttempt ? handleLostConnection(closed, process, guards) : closed }
  if (isCall(state) || !isCurrentAttempt) return [lostStep]
  return [lostStep, { name: `reopen ${number}`, next: setAttempt(state, number, { phase: 'connecting' }) }]
})

function handleLostConnection (state: RequestsState, process: number, guards: Guards): RequestsState {
  const isOutcomeUnknown = state.kind === 'charge' && guards.has('noRetryAfterBytes')
  if (isOutcomeUnknown) return endEntry(state, process, 'unknown')
  if (getEntry(state, process).deliveredGeneration !== 0 && guards.has('deliveredFlag')) return endEntry(state, process, 'failed')
  return setEntry(state, process, { attempt: 0 })
}

/** The request ends without another attempt. */
export const giveUp: Action = state => listUnfinished(state)
  .filter(process => getEntry(state, process).attempt === 0)
  .map(process => {
    const outcome = getEntry(state, process).phase === 'dispatched' ? 'failed' : 'notRun'
    return { name: `giveUp ${process}`, next: endEntry(state, process, outcome) }
  })

/** The owner receives a token or a reply on an open connection. The reply of a call is accepted after its deadline too. */
export const receive: Action = state => listAttempts(state, 'open').flatMap(({ number, process, attempt }) => {
  const entry = getEntry(state, process)
  if (entry.attempt !== number || entry.bufferedTokens >= attempt.producedTokens) return []
  const bufferedTokens = entry.bufferedTokens + 1
  const isComplete = bufferedTokens === getAnswerTokenCount(state)
  const canEnd = entry.phase !== 'ended' || (entry.outcome === 'unknown' && isCall(state))
  if (!canEnd) return []
  const receivedState = setEntry(state, process, { bufferedTokens })
  const next = isComplete ? endEntry(setAttempt(receivedState, number, { phase: 'closed' }), process, 'complete') : receivedState
  return [{ name: `receive ${number}`, next }]
})

/** A buffered token is delivered to a reader. */
export const deliver: Action = state => PROCESSES.flatMap(process => {
  const entry = getEntry(state, process)
  const isReadable = !isCall(state) && isUp(state, process) && (state.kind === 'streamed' || entry.outcome === 'complete')
  if (!isReadable) return []
  return listOffsets(entry.bufferedTokens).map(offset => ({
    name: `deliver ${process} ${offset}`,
    next: recordDelivery(addSentToken(state, entry.generation, offset), process)
  }))
})

function recordDelivery (state: RequestsState, process: number): RequestsState {
  const { deliveredGeneration, generation } = getEntry(state, process)
  const isOtherGeneration = deliveredGeneration !== 0 && deliveredGeneration !== generation
  return setEntry({ ...state, hasMixedGenerations: state.hasMixedGenerations || isOtherGeneration }, process, { deliveredGeneration: generation })
}

function listUnfinished (state: RequestsState): number[] {
  return PROCESSES.filter(process => isUp(state, process) && ['waiting', 'dispatched'].includes(getEntry(state, process).phase))
}

function endEntry (state: RequestsState, process: number, outcome: ModelOutcome): RequestsState {
  return addSentOutcome(setEntry(state, process, { phase: 'ended', outcome }), outcome)
}

function listAttempts (state: RequestsState, phase: string): Array<{ number: number, process: number, attempt: RequestsState['attempts'][number] }> {
  return state.attempts
    .map((attempt, index) => ({ number: index + 1, process: attempt.process, attempt }))
    .filter(({ attempt, process }) => attempt.phase === phase && isUp(state, process))
}

function isCurrent (state: RequestsState, process: number, number: number): boolean {
  const { attempt, phase } = getEntry(state, process)
  return attempt === number && phase !== 'ended'
}

function listOffsets (count: number): number[] {
  return Array.from({ length: count }, (_, offset) => offset)
}

function getEntry (state: RequestsState, process: number): ModelEntry {
  return state.entries[process] as ModelEntry
}
