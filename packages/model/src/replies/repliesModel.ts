import { createSet } from '../explore/createSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** One of two calls that run at the same target. */
export interface ModelCall {
  readonly phase: 'waiting' | 'sent' | 'unknown' | 'complete'
  /** Number of the connection that it was sent on; 0 before. */
  readonly connection: number
  /** Call whose reply it has; 0 for none. */
  readonly reply: number
}

/** A reply on its way on a connection. */
export interface ModelReply {
  readonly connection: number
  readonly call: number
}

/** State of two calls of different callers, the replies on their way, and the caller who reads them. */
export interface RepliesState {
  readonly calls: readonly ModelCall[]
  readonly replies: readonly ModelReply[]
  /** Call whose reply each caller has got; 0 for none. */
  readonly delivered: readonly number[]
}

type Guards = ReadonlySet<string>
type Action = (state: RepliesState, guards: Guards) => ReadonlyArray<Step<RepliesState>>

const CALLS = [1, 2]

/** A call leaves, on a connection of its own. */
const send: Action = (state, guards) => CALLS.filter(call => getCall(state, call).phase === 'waiting').map(call => {
  const connection = guards.has('ownConnection') ? call : 1
  return { name: `send ${call}`, next: setCall(state, call, { phase: 'sent', connection, reply: 0 }) }
})

/** The target replies; the reply may arrive at any later time or never. */
const reply: Action = state => CALLS
  .filter(call => getCall(state, call).connection !== 0 && !state.replies.some(other => other.call === call))
  .map(call => {
    const replies = [...state.replies, { connection: getCall(state, call).connection, call }]
    return { name: `reply ${call}`, next: { ...state, replies: createSet(replies) } }
  })

/** A call is given up by its deadline; its connection stays open for a late reply. */
const passDeadline: Action = state => CALLS
  .filter(call => getCall(state, call).phase === 'sent')
  .map(call => ({ name: `passDeadline ${call}`, next: setCall(state, call, { ...getCall(state, call), phase: 'unknown' }) }))

/** A reply arrives at a call that waits on its connection, or is still open to a late reply. */
const receive: Action = (state, guards) => state.replies.flatMap(({ connection, call: replied }) => CALLS
  .filter(call => canTake(getCall(state, call), connection, guards))
  .map(call => ({ name: `receive ${replied} by ${call}`, next: setCall(state, call, { phase: 'complete', connection, reply: replied }) })))

function canTake (call: ModelCall, connection: number, guards: Guards): boolean {
  const isOpen = call.phase === 'sent' || call.phase === 'unknown'
  return isOpen && (call.connection === connection || !guards.has('matchedByConnection'))
}

/** A caller reads the reply of its own request id. */
const read: Action = (state, guards) => CALLS.flatMap(caller => CALLS
  .filter(call => (call === caller || !guards.has('ownId')) && getCall(state, call).phase === 'complete')
  .map(call => ({ name: `read ${call} by ${caller}`, next: setDelivered(state, caller, getCall(state, call).reply) })))

function getCall (state: RepliesState, call: number): ModelCall {
  return state.calls[call - 1] as ModelCall
}

function setCall (state: RepliesState, call: number, next: ModelCall): RepliesState {
  return { ...state, calls: state.calls.map((other, index) => index === call - 1 ? next : other) }
}

function setDelivered (state: RepliesState, caller: number, replied: number): RepliesState {
  return { ...state, delivered: state.delivered.map((other, index) => index === caller - 1 ? replied : other) }
}

const GUARDS = ['ownConnection', 'matchedByConnection', 'ownId']
const ACTIONS: readonly Action[] = [send, reply, passDeadline, receive, read]
const WAITING: ModelCall = { phase: 'waiting', connection: 0, reply: 0 }

/** Model of replies that arrive late and in any order. */
export const repliesModel: Model<RepliesState> = {
  name: 'replies',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removed: [guard] })),
  invariants: {
    ownAnswerOnly: state => state.delivered.every((replied, index) => replied === 0 || replied === index + 1)
  },
  listInitial: () => [{ calls: [WAITING, WAITING], replies: [], delivered: [0, 0] }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
