import { createCanonicalSet } from '../explore/createCanonicalSet.js'
import { type Model, type Step } from '../explore/Model.js'

/** One of two calls to the same target. */
export interface ModelCall {
  readonly phase: 'waiting' | 'sent' | 'unknown' | 'complete'
  /** Number of the connection on which the call was sent; 0 before. */
  readonly connection: number
  /** Call whose reply was received for this call; 0 for none. */
  readonly reply: number
}

/** A reply in transit on a connection. */
export interface ModelReply {
  readonly connection: number
  readonly call: number
}

/** State of two calls of different callers, the replies in transit and the replies that the callers have received. */
export interface RepliesState {
  readonly calls: readonly ModelCall[]
  readonly replies: readonly ModelReply[]
  /** For each caller, the call whose reply it has received; 0 for none. */
  readonly receivedReplies: readonly number[]
}

type Guards = ReadonlySet<string>
type Action = (state: RepliesState, guards: Guards) => ReadonlyArray<Step<RepliesState>>

const CALLS = [1, 2]

/** A call is sent on a separate connection. */
const send: Action = (state, guards) => CALLS.filter(call => getCall(state, call).phase === 'waiting').map(call => {
  const connection = guards.has('separateConnections') ? call : 1
  return { name: `send ${call}`, next: setCall(state, call, { phase: 'sent', connection, reply: 0 }) }
})

/** The target replies. The reply may arrive at any later time or never. */
const reply: Action = state => CALLS
  .filter(call => getCall(state, call).connection !== 0 && !state.replies.some(other => other.call === call))
  .map(call => {
    const replies = [...state.replies, { connection: getCall(state, call).connection, call }]
    return { name: `reply ${call}`, next: { ...state, replies: createCanonicalSet(replies) } }
  })

/** The deadline of a call passes. Its connection stays open for a late reply. */
const passDeadline: Action = state => CALLS
  .filter(call => getCall(state, call).phase === 'sent')
  .map(call => ({ name: `passDeadline ${call}`, next: setCall(state, call, { ...getCall(state, call), phase: 'unknown' }) }))

/** A reply arrives for a call that waits for it on the same connection, possibly after the deadline of the call. */
const receive: Action = (state, guards) => state.replies.flatMap(({ connection, call: repliedCall }) => CALLS
  .filter(call => canReceive(getCall(state, call), connection, guards))
  .map(call => ({ name: `receive ${repliedCall} by ${call}`, next: setCall(state, call, { phase: 'complete', connection, reply: repliedCall }) })))

function canReceive (call: ModelCall, connection: number, guards: Guards): boolean {
  const isOpen = call.phase === 'sent' || call.phase === 'unknown'
  return isOpen && (call.connection === connection || !guards.has('matchedByConnection'))
}

/** A caller reads the reply for its request id. */
const read: Action = (state, guards) => CALLS.flatMap(caller => CALLS
  .filter(call => (call === caller || !guards.has('matchedByRequestId')) && getCall(state, call).phase === 'complete')
  .map(call => ({ name: `read ${call} by ${caller}`, next: setReceivedReply(state, caller, getCall(state, call).reply) })))

function getCall (state: RepliesState, call: number): ModelCall {
  return state.calls[call - 1] as ModelCall
}

function setCall (state: RepliesState, call: number, next: ModelCall): RepliesState {
  return { ...state, calls: state.calls.map((other, index) => index === call - 1 ? next : other) }
}

function setReceivedReply (state: RepliesState, caller: number, repliedCall: number): RepliesState {
  return { ...state, receivedReplies: state.receivedReplies.map((other, index) => index === caller - 1 ? repliedCall : other) }
}

const GUARDS = ['separateConnections', 'matchedByConnection', 'matchedByRequestId']
const ACTIONS: readonly Action[] = [send, reply, passDeadline, receive, read]
const WAITING: ModelCall = { phase: 'waiting', connection: 0, reply: 0 }

/** Model of two calls whose replies arrive late and in any order. */
export const repliesModel: Model<RepliesState> = {
  name: 'replies',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removedGuards: [guard] })),
  invariants: {
    repliesMatchCallers: state => state.receivedReplies.every((repliedCall, index) => repliedCall === 0 || repliedCall === index + 1)
  },
  listInitialStates: () => [{ calls: [WAITING, WAITING], replies: [], receivedReplies: [0, 0] }],
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}
