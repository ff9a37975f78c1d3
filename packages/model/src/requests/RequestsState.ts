import { createSet } from '../explore/createSet.js'

/** How a request is served: two ways of delivering a generation, and calls that may or may not be repeated. */
export type RequestKind = 'streamed' | 'held' | 'lookup' | 'charge'

/** Outcome of a request; `none` before its end. */
export type ModelOutcome = 'none' | 'complete' | 'notRun' | 'unknown' | 'failed' | 'cancelled'

/** One attempt at a target. Attempt `n` goes to target `n`; for generations it is generation `n`. */
export interface Attempt {
  /** Index of the process that makes it. */
  readonly by: number
  readonly phase: 'connecting' | 'open' | 'closed'
  /** Whether a byte of it may have left. */
  readonly hasLeft: boolean
  /** Whether it runs or ran at the target. */
  readonly hasRun: boolean
  /** Tokens that the target has produced; for a call, 1 once it has a reply. */
  readonly produced: number
}

/** What one process holds of the request. */
export interface ModelEntry {
  readonly phase: 'absent' | 'waiting' | 'dispatched' | 'ended'
  readonly outcome: ModelOutcome
  /** Number of the current attempt; 0 for none. */
  readonly attempt: number
  /** Generation of the tokens that are held; 0 before the first. */
  readonly generation: number
  /** Tokens held. */
  readonly held: number
  /** Generation of the tokens that a reader has been handed; 0 for none. */
  readonly delivered: number
}

/** Index of the owner: the incarnation that granted the lease. */
export const OWNER = 0
/** Index of the incarnation that follows on the same instance. */
export const SUCCESSOR = 1
/** Index of a process on another instance. */
export const OTHER = 2

/** State of one request, its owner, another instance, two targets and the caller. */
export interface RequestsState {
  readonly kind: RequestKind
  readonly lease: 'live' | 'expired' | 'forgotten'
  /** Life of the owner's process. */
  readonly owner: 'running' | 'refusing' | 'stopped' | 'restarted'
  readonly entries: readonly ModelEntry[]
  readonly attempts: readonly Attempt[]
  /** Outcomes that have been sent to the caller; each may arrive at any later time, often or never. */
  readonly answers: readonly ModelOutcome[]
  /** Tokens that have been sent to the caller, as generation times 10 plus offset; they arrive like answers. */
  readonly sentTokens: readonly number[]
  /** Tokens that the caller has, as generation times 10 plus offset, in their order. */
  readonly received: readonly number[]
  /** Outcome that the caller takes as final. */
  readonly result: ModelOutcome
  /** Whether a reader at one process has been handed tokens of two generations. */
  readonly hasSpliced: boolean
  /** Whether a planned stop has cut work off. */
  readonly hasCutWork: boolean
}

/** What a token's generation is multiplied by when it is written with its offset as one number. */
export const GENERATION_FACTOR = 10

/** Number of tokens of a generation. */
export const ANSWER_TOKENS = 2

/** Attempts that a request has. */
export const MAX_MODEL_ATTEMPTS = 2

/** Entry of a process that has not seen the request. */
export const ABSENT: ModelEntry = { phase: 'absent', outcome: 'none', attempt: 0, generation: 0, held: 0, delivered: 0 }

/**
 * Creates the state before the first copy of a request arrives.
 * @param kind - How the request is served.
 */
export function createRequestsState (kind: RequestKind): RequestsState {
  return {
    kind,
    lease: 'live',
    owner: 'running',
    entries: [ABSENT, ABSENT, ABSENT],
    attempts: [],
    answers: [],
    sentTokens: [],
    received: [],
    result: 'none',
    hasSpliced: false,
    hasCutWork: false
  }
}

/**
 * Tells whether a request is a call.
 * @param state - The state.
 */
export function isCall ({ kind }: RequestsState): boolean {
  return kind === 'lookup' || kind === 'charge'
}

/**
 * Computes the number of tokens of a whole answer; a reply counts as one.
 * @param state - The state.
 */
export function computeAnswerTokens (state: RequestsState): number {
  return isCall(state) ? 1 : ANSWER_TOKENS
}

/**
 * Replaces fields of one process's entry.
 * @param state - The state.
 * @param process - Index of the process.
 * @param fields - Fields to replace.
 */
export function setEntry (state: RequestsState, process: number, fields: Partial<ModelEntry>): RequestsState {
  const entries = state.entries.map((entry, index) => index === process ? { ...entry, ...fields } : entry)
  return { ...state, entries }
}

/**
 * Replaces fields of one attempt.
 * @param state - The state.
 * @param number - Number of the attempt, from 1.
 * @param fields - Fields to replace.
 */
export function setAttempt (state: RequestsState, number: number, fields: Partial<Attempt>): RequestsState {
  const attempts = state.attempts.map((attempt, index) => index === number - 1 ? { ...attempt, ...fields } : attempt)
  return { ...state, attempts }
}

/**
 * Adds an outcome to those sent to the caller.
 * @param state - The state.
 * @param outcome - The outcome.
 */
export function addAnswer (state: RequestsState, outcome: ModelOutcome): RequestsState {
  if (state.answers.includes(outcome)) return state
  return { ...state, answers: createSet([...state.answers, outcome]) }
}

/**
 * Adds a token to those sent to the caller.
 * @param state - The state.
 * @param generation - Generation of the token.
 * @param offset - Offset of the token.
 */
export function addToken (state: RequestsState, generation: number, offset: number): RequestsState {
  const token = generation * GENERATION_FACTOR + offset
  if (state.sentTokens.includes(token)) return state
  return { ...state, sentTokens: createSet([...state.sentTokens, token]) }
}
