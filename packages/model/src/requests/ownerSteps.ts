import { type Step } from '../explore/Model.js'
import {
  addAnswer, addToken, computeAnswerTokens, isCall, MAX_MODEL_ATTEMPTS, type ModelEntry, type ModelOutcome, OTHER, OWNER,
  type RequestsState, setAttempt, setEntry, SUCCESSOR
} from './RequestsState.js'

type Guards = ReadonlySet<string>

/** Lists the steps of one action; no step where it is not enabled. */
export type Action = (state: RequestsState, guards: Guards) => ReadonlyArray<Step<RequestsState>>

const PROCESSES = [OWNER, SUCCESSOR, OTHER]

/** A copy of the request arrives at an instance, at any time and as often as it likes. */
export const submit: Action = (state, guards) => PROCESSES
  .filter(process => isUp(state, process))
  .map(process => ({ name: `submit ${process}`, next: acceptCopy(state, process, guards) }))

function isUp ({ owner }: RequestsState, process: number): boolean {
  const isRunning = [owner === 'running' || owner === 'refusing', owner === 'restarted', true]
  return isRunning[process] as boolean
}

function acceptCopy (state: RequestsState, process: number, guards: Guards): RequestsState {
  if (guards.has(ACCEPTANCE_GUARDS[process] as string) && isForeign(state, process)) return addAnswer(state, 'unknown')
  const { phase, outcome } = getEntry(state, process)
  if (phase === 'ended') return addAnswer(state, outcome)
  if (phase !== 'absent') return state
  if (process !== OWNER) return setEntry(state, process, { phase: 'waiting' })
  const isRefused = state.owner === 'refusing' || state.lease === 'expired'
  return isRefused ? refuseCopy(state, guards) : setEntry(state, process, { phase: 'waiting' })
}

/** Guards that keep a process from taking a request, by process. */
const ACCEPTANCE_GUARDS = ['leaseForgotten', 'incarnationCheck', 'ownerCheck']

function isForeign (state: RequestsState, process: number): boolean {
  return process !== OWNER || state.lease === 'forgotten'
}

function refuseCopy (state: RequestsState, guards: Guards): RequestsState {
  const answered = addAnswer(state, 'notRun')
  return guards.has('tombstone') ? setEntry(answered, OWNER, { phase: 'ended', outcome: 'notRun' }) : answered
}

/** The owner refuses a request for want of room before anything is sent; a copy may be offered again. */
export const refuse: Action = (state, guards) => {
  const isRefusable = getEntry(state, OWNER).phase === 'absent' && isUp(state, OWNER) && state.lease === 'live'
  return isRefusable ? [{ name: 'refuse', next: refuseCopy(state, guards) }] : []
}

/** The caller cancels at the owner; a request that has never arrived is kept from running. */
export const cancel: Action = (state, guards) => {
  if (!isUp(state, OWNER) || state.lease === 'forgotten') return []
  const { phase } = getEntry(state, OWNER)
  if (phase === 'absent') return [{ name: 'cancel', next: refuseCopy(state, guards) }]
  if (phase === 'ended') return []
  if (phase === 'dispatched' && isCall(state)) return [{ name: 'cancel', next: addAnswer(state, 'unknown') }]
  return [{ name: 'cancel', next: endUnfinished(state, OWNER, 'cancelled') }]
}

/** The deadline of the request passes. */
export const passDeadline: Action = state => listRunning(state).map(process => {
  const isOnItsWay = isCall(state) && getEntry(state, process).attempt !== 0
  const outcome = isOnItsWay ? 'unknown' : 'failed'
  return { name: `passDeadline ${process}`, next: endUnfinished(state, process, outcome) }
})

/** Ends a request that may or may not have been dispatched; a call's connection stays open for a late reply. */
function endUnfinished (state: RequestsState, process: number, dispatched: ModelOutcome): RequestsState {
  const entry = getEntry(state, process)
  const outcome = entry.phase === 'dispatched' ? dispatched : 'notRun'
  const next = isCall(state) || entry.attempt === 0 ? state : setAttempt(state, entry.attempt, { phase: 'closed' })
  return endEntry(next, process, outcome)
}

/** A target is chosen and its connection is opened. */
export const dispatch: Action = (state, guards) => listRunning(state)
  .filter(process => canDispatch(state, getEntry(state, process), guards))
  .map(process => ({ name: `dispatch ${process}`, next: startAttempt(state, process) }))

function canDispatch (state: RequestsState, entry: ModelEntry, guards: Guards): boolean {
  if (entry.attempt !== 0 || state.attempts.length >= MAX_MODEL_ATTEMPTS) return false
  return entry.delivered === 0 || !guards.has('deliveredFlag')
}

function startAttempt (state: RequestsState, process: number): RequestsState {
  const attempt = { by: process, phase: 'connecting', hasLeft: false, hasRun: false, produced: 0 } as const
  const attempts = [...state.attempts, attempt]
  const entry = getEntry(state, process)
  const phase = isCall(state) ? entry.phase : 'dispatched'
  return setEntry({ ...state, attempts }, process, { attempt: attempts.length, generation: attempts.length, held: 0, phase })
}

/** The connection stands, and the first byte leaves unless the request has ended meanwhile. */
export const connect: Action = (state, guards) => listAttempts(state, 'connecting').map(({ number, process }) => {
  const isWanted = isCurrent(state, process, number)
  if (!isWanted && guards.has('checkBeforeSend')) return { name: `withhold ${number}`, next: setAttempt(state, number, { phase: 'closed' }) }
  const opened = setAttempt(state, number, { phase: 'open', hasLeft: true })
  return { name: `connect ${number}`, next: isWanted ? setEntry(opened, process, { phase: 'dispatched' }) : opened }
})

/** The connection cannot be established. */
export const failConnect: Action = (state, guards) => listAttempts(state, 'connecting').map(({ number, process }) => {
  const closed = setAttempt(state, number, { phase: 'closed' })
  if (!isCurrent(state, process, number)) return { name: `failConnect ${number}`, next: closed }
  const phase = mayHaveRun(state, process, number, guards) ? 'dispatched' : 'waiting'
  return { name: `failConnect ${number}`, next: setEntry(closed, process, { attempt: 0, phase }) }
})

/** A connection that cannot be opened again proves nothing when an earlier one of the same attempt took a byte. */
function mayHaveRun (state: RequestsState, process: number, number: number, guards: Guards): boolean {
  const counts = (index: number): boolean => index !== number - 1 || guards.has('bytesSentEarlier')
  const hasLeft = state.attempts.some((attempt, index) => attempt.by === process && attempt.hasLeft && counts(index))
  return hasLeft || getEntry(state, process).held > 0
}

/** An open connection is lost; a generation may be attached to again. */
export const cut: Action = (state, guards) => listAttempts(state, 'open').flatMap(({ number, process }) => {
  const closed = setAttempt(state, number, { phase: 'closed' })
  const isWanted = isCurrent(state, process, number)
  const lost = { name: `cut ${number}`, next: isWanted ? settleCut(closed, process, guards) : closed }
  if (isCall(state) || !isWanted) return [lost]
  return [lost, { name: `reopen ${number}`, next: setAttempt(state, number, { phase: 'connecting' }) }]
})

function settleCut (state: RequestsState, process: number, guards: Guards): RequestsState {
  const isFinal = state.kind === 'charge' && guards.has('noRepeatAfterBytes')
  if (isFinal) return endEntry(state, process, 'unknown')
  if (getEntry(state, process).delivered !== 0 && guards.has('deliveredFlag')) return endEntry(state, process, 'failed')
  return setEntry(state, process, { attempt: 0 })
}

/** No further target is tried. */
export const giveUp: Action = state => listRunning(state)
  .filter(process => getEntry(state, process).attempt === 0)
  .map(process => {
    const outcome = getEntry(state, process).phase === 'dispatched' ? 'failed' : 'notRun'
    return { name: `giveUp ${process}`, next: endEntry(state, process, outcome) }
  })

/** The owner takes tokens or a reply from an open connection, also after the deadline of a call. */
export const take: Action = state => listAttempts(state, 'open').flatMap(({ number, process, attempt }) => {
  const entry = getEntry(state, process)
  if (entry.attempt !== number || entry.held >= attempt.produced) return []
  const held = entry.held + 1
  const isWhole = held === computeAnswerTokens(state)
  const canEnd = entry.phase !== 'ended' || (entry.outcome === 'unknown' && isCall(state))
  if (!canEnd) return []
  const taken = setEntry(state, process, { held })
  const next = isWhole ? endEntry(setAttempt(taken, number, { phase: 'closed' }), process, 'complete') : taken
  return [{ name: `take ${number}`, next }]
})

/** A reader at the owner is handed a token that is held. */
export const deliver: Action = state => PROCESSES.flatMap(process => {
  const entry = getEntry(state, process)
  const isReadable = !isCall(state) && isUp(state, process) && (state.kind === 'streamed' || entry.outcome === 'complete')
  if (!isReadable) return []
  return listOffsets(entry.held).map(offset => ({
    name: `deliver ${process} ${offset}`,
    next: recordDelivery(addToken(state, entry.generation, offset), process)
  }))
})

function recordDelivery (state: RequestsState, process: number): RequestsState {
  const { delivered, generation } = getEntry(state, process)
  const isSpliced = delivered !== 0 && delivered !== generation
  return setEntry({ ...state, hasSpliced: state.hasSpliced || isSpliced }, process, { delivered: generation })
}

function listRunning (state: RequestsState): number[] {
  return PROCESSES.filter(process => isUp(state, process) && ['waiting', 'dispatched'].includes(getEntry(state, process).phase))
}

function endEntry (state: RequestsState, process: number, outcome: ModelOutcome): RequestsState {
  return addAnswer(setEntry(state, process, { phase: 'ended', outcome }), outcome)
}

function listAttempts (state: RequestsState, phase: string): Array<{ number: number, process: number, attempt: RequestsState['attempts'][number] }> {
  return state.attempts
    .map((attempt, index) => ({ number: index + 1, process: attempt.by, attempt }))
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
