import { type Model } from '../explore/Model.js'
import * as environmentSteps from './environmentSteps.js'
import * as ownerSteps from './ownerSteps.js'
import { createRequestsState, GENERATION_FACTOR, getAnswerTokenCount, isCall, type RequestKind, type RequestsState } from './RequestsState.js'

const KINDS: readonly RequestKind[] = ['streamed', 'buffered', 'lookup', 'charge']

const GUARDS = [
  'tombstone', 'ownerCheck', 'incarnationCheck', 'removedLeaseCheck', 'retention', 'checkBeforeSend', 'bytesSentEarlier',
  'noRetryAfterBytes', 'deliveredFlag', 'drainWaits', 'callerGeneration', 'callerOffset', 'callerCount'
]

const ACTIONS: readonly ownerSteps.Action[] = [
  ownerSteps.submit, ownerSteps.refuse, ownerSteps.cancel, ownerSteps.passDeadline, ownerSteps.dispatch, ownerSteps.connect,
  ownerSteps.failConnect, ownerSteps.cut, ownerSteps.giveUp, ownerSteps.receive, ownerSteps.deliver, environmentSteps.ageLease,
  environmentSteps.restart, environmentSteps.beginDrain, environmentSteps.endDrain, environmentSteps.run, environmentSteps.produce,
  environmentSteps.resume, environmentSteps.receiveToken, environmentSteps.receiveAnswer
]

/** Model of one request from its caller through its owner to targets. */
export const requestsModel: Model<RequestsState> = {
  name: 'requests',
  guards: GUARDS,
  mutants: GUARDS.map(guard => ({ name: guard, removedGuards: [guard] })),
  invariants: {
    deliveryOnceInOrderOneGeneration: state => !state.hasMixedGenerations && isPrefixOfOneGeneration(state.receivedTokens),
    wholeAnswerWhenComplete: state => state.result !== 'complete' || isCall(state) || state.receivedTokens.length === getAnswerTokenCount(state),
    notRunNeverRuns: state => !state.sentOutcomes.includes('notRun') || !state.attempts.some(attempt => attempt.hasRun),
    nonIdempotentAtMostOnce: state => state.kind !== 'charge' || state.attempts.filter(attempt => attempt.hasRun).length <= 1,
    drainInterruptsNoWork: state => !state.hasInterruptedWork
  },
  listInitialStates: () => KINDS.map(createRequestsState),
  listSteps: (state, guards) => ACTIONS.flatMap(action => action(state, guards))
}

function isPrefixOfOneGeneration (receivedTokens: readonly number[]): boolean {
  const first = receivedTokens[0] ?? 0
  return receivedTokens.every((token, offset) => token === first + offset && first % GENERATION_FACTOR === 0)
}
