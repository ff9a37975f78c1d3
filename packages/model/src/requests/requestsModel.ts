import { type Model } from '../explore/Model.js'
import * as others from './otherSteps.js'
import * as owners from './ownerSteps.js'
import { computeAnswerTokens, createRequestsState, GENERATION_FACTOR, isCall, type RequestKind, type RequestsState } from './RequestsState.js'

const KINDS: readonly RequestKind[] = ['streamed', 'held', 'lookup', 'charge']

const GUARDS = [
  'tombstone', 'ownerCheck', 'incarnationCheck', 'leaseForgotten', 'retention', 'checkBeforeSend', 'bytesSentEarlier',
  'noRepeatAfterBytes', 'deliveredFlag', 'drainWaits', 'callerGeneration', 'callerOffset', 'callerCount'
]

const ACTIONS: readonly owners.Action[] = [
  owners.submit, owners.refuse, owners.cancel, owners.passDeadline, owners.dispatch, owners.connect, owners.failConnect, owners.cut,
  owners.giveUp, owners.take, owners.deliver, others.ageLease, others.restart, others.beginDrain, others.endDrain, others.run,
  others.produce, others.resume, others.receiveToken, others.receiveAnswer
]

/** Model of one request from its caller through its owner to targets. */
export const requestsModel: Model<RequestsState> = {
  name: 'requests',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removed: [guard] })),
  invariants: {
    deliveryOnceInOrderOneGeneration: state => !state.hasSpliced && isOneGeneration(state.received),
    wholeAnswerWhenComplete: state => state.result !== 'complete' || isCall(state) || state.received.length === computeAnswerTokens(state),
    notRunNeverRuns: state => !state.answers.includes('notRun') || !state.attempts.some(attempt => attempt.hasRun),
    nonIdempotentAtMostOnce: state => state.kind !== 'charge' || state.attempts.filter(attempt => attempt.hasRun).length <= 1,
    drainCutsNothing: state => !state.hasCutWork
  },
  listInitial: () => KINDS.map(createRequestsState),
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}

function isOneGeneration (received: readonly number[]): boolean {
  const first = received[0] ?? 0
  return received.every((token, offset) => token === first + offset && first % GENERATION_FACTOR === 0)
}
