import { createCanonicalSet } from '../explore/createCanonicalSet.js'

/**
 * How a request is served: as a generation that is streamed or buffered until its end, as an idempotent call (`lookup`), or as a
 * non-idempotent call (`charge`).
 */
export type RequestKind = 'streamed' | 'buffered' | 'lookup' | 'charge'

/** Outcome of a request; `none` until it has ended. */
export type ModelOutcome = 'none' | 'complete' | 'notRun' | 'unknown' | 'failed' | 'cancelled'

/** One attempt at a target. Attempt `n` goes to target `n`. For generations, it runs generation `n`. */
export interface ModelAttempt {
  /** Index of the process that makes the attempt. */
  readonly process: number
  readonly phase: 'connecting' | 'open' | 'closed'
  /** Whether a byte of the request may have been sent. */
  readonly hasSentBytes: boolean
  /** Whether the attempt has started to run at the target. */
  readonly hasRun: boolean
  /** Number of tokens that the target has produced; for a call, 1 once the target has a reply. */
  readonly producedTokens: number
}

/** Entry of the request at one process. */
export interface ModelEntry {
  readonly phase: 'absent' | 'waiting' | 'dispatched' | 'ended'
  readonly outcome: ModelOutcome
  /** Number of the current attempt; 0 for none. */
  readonly attempt: number
  /** Generation of the buffered tokens; 0 before the first. */
  readonly generation: number
  /** Number of buffered tokens. */
  readonly bufferedTokens: number
  /** Generation of the tokens that were delivered to a reader; 0 for none. */
  readonly deliveredGeneration: number
}

/** Index of the owner, the incarnation that granted the lease. */
export const OWNER = 0
/** Index of the next incarnation on the same instance. */
export const SUCCESSOR = 1
/** Index of a process on another instance. */
export const OTHER_INSTANCE = 2

/** State of one request, its owner, another instance, two targets and the caller. */
export interface RequestsState {
  readonly kind: RequestKind
  readonly lease: 'live' | 'expired' | 'removed'
  /** State of the owner's process; `refusing` while it drains. */
  readonly owner: 'running' | 'refusing' | 'stopped' | 'restarted'
  readonly entries: readonly ModelEntry[]
  readonly attempts: readonly ModelAttempt[]
  /** Outcomes that were sent to the caller. Each may arrive at any later time, repeatedly or never. */
  readonly sentOutcomes: readonly ModelOutcome[]
  /** Tokens that were sent to the caller, as generation times 10 plus offset. They arrive like outcomes. */
  readonly sentTokens: readonly number[]
  /** Tokens that the caller has accepted in order of acceptance, as generation times 10 plus offset. */
  readonly receivedTokens: readonly number[]
  /** Outcome that the caller has accepted; `none` before the first. */
  readonly result: ModelOutcome
  /** Whether tokens of two generations were delivered to readers at the same process. */
  readonly hasMixedGenerations: boolean
  /** Whether a drain ended while the request was still in progress. */
  readonly hasInterruptedWork: boolean
}

/** Factor of the generation in the encoding of a token as one number: generation times this factor plus offset. */
export const GENERATION_FACTOR = 10

/** Number of tokens of a generation. */
export const GENERATION_TOKENS = 2

/** Maximum number of attempts of a request, over all processes. */
export const MAX_MODEL_ATTEMPTS = 2

/** Entry of a process that has not received the request. */
export const ABSENT_ENTRY: ModelEntry = { phase: 'absent', outcome: 'none', attempt: 0, generation: 0, bufferedTokens: 0, deliveredGeneration: 0 }

/**
 * Creates the state before the first copy of a request arrives.
 * @param kind - How the request is served.
 */
export function createRequestsState (kind: RequestKind): RequestsState {
  return {
    kind,
    lease: 'live',
    owner: 'running',
    entries: [ABSENT_ENTRY, ABSENT_ENTRY, ABSENT_ENTRY],
    attempts: [],
    sentOutcomes: [],
    sentTokens: [],
    receivedTokens: [],
    result: 'none',
    hasMixedGenerations: false,
    hasInterruptedWork: false
  }
}

/**
 * Returns whether a request is a call.
 * @param state - The state.
 */
export function isCall ({ kind }: RequestsState): boolean {
  return kind === 'lookup' || kind === 'charge'
}

/**
 * Returns the number of tokens of a complete answer. The reply of a call counts as one token.
 * @param state - The state.
 */
export function getAnswerTokenCount (state: RequestsState): number {
  return isCall(state) ? 1 : GENERATION_TOKENS
}

/**
 * Returns a state in which fields of one process's entry are replaced.
 * @param state - The state.
 * @param process - Index of the process.
 * @param fields - Fields to replace.
 */
export function setEntry (state: RequestsState, process: number, fields: Partial<ModelEntry>): RequestsState {
  const entries = state.entries.map((entry, index) => index === process ? { ...entry, ...fields } : entry)
  return { ...state, entries }
}

/**
 * Returns a state in which fields of one attempt are replaced.
 * @param state - The state.
 * @param number - Number of the attempt, from 1.
 * @param fields - Fields to replace.
 */
export function setAttempt (state: RequestsState, number: number, fields: Partial<ModelAttempt>): RequestsState {
  const attempts = state.attempts.map((attempt, index) => index === number - 1 ? { ...attempt, ...fields } : attempt)
  return { ...state, attempts }
}

/**
 * Returns a state in which an outcome was sent to the caller.
 * @param state - The state.
 * @param outcome - The outcome.
 */
export function addSentOutcome (state: RequestsState, outcome: ModelOutcome): RequestsState {
  if (state.sentOutcomes.includes(outcome)) return state
  return { ...state, sentOutcomes: createCanonicalSet([...state.sentOutcomes, outcome]) }
}

/**
 * Returns a state in which a token was sent to the caller.
 * @param state - The state.
 * @param generation - Generation of the token.
 * @param offset - Offset of the token.
 */
export function addSentToken (state: RequestsState, generation: number, offset: number): RequestsState {
  const token = generation * GENERATION_FACTOR + offset
  if (state.sentTokens.includes(token)) return state
  return { ...state, sentTokens: createCanonicalSet([...state.sentTokens, token]) }
}
