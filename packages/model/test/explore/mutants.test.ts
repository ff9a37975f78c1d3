import { describe, expect, it } from 'vitest'
import { createRequestsState, exploreModel, type Model, MODELS, replayTrace, requestsModel } from '../../src/index.js'

/** Mutants whose shortest violating traces take long to find. Their traces are replayed here; `check:model --mutants` searches for them. */
const DEEP_MUTANTS = ['deliveredFlag', 'callerGeneration']

function describeViolations (model: Model<any>): string[] {
  return model.mutants.filter(({ name }) => !DEEP_MUTANTS.includes(name)).map(({ name, removedGuards }) => {
    return `${model.name} without ${name}: ${exploreModel(model, { removedGuards }).violation?.invariant}`
  })
}

describe('mutants', () => {
  it('each violate the expected invariant', () => {
    expect(MODELS.flatMap(describeViolations)).toMatchInlineSnapshot(`
      [
        "requests without tombstone: notRunNeverRuns",
        "requests without ownerCheck: notRunNeverRuns",
        "requests without incarnationCheck: notRunNeverRuns",
        "requests without removedLeaseCheck: notRunNeverRuns",
        "requests without retention: notRunNeverRuns",
        "requests without checkBeforeSend: notRunNeverRuns",
        "requests without bytesSentEarlier: notRunNeverRuns",
        "requests without noRetryAfterBytes: nonIdempotentAtMostOnce",
        "requests without drainWaits: drainInterruptsNoWork",
        "requests without callerOffset: deliveryOnceInOrderOneGeneration",
        "requests without callerCount: wholeAnswerWhenComplete",
        "replies without separateConnections: repliesMatchCallers",
        "replies without matchedByConnection: repliesMatchCallers",
        "replies without matchedByRequestId: repliesMatchCallers",
        "configuration without revisionOrder: configurationNeverReverts",
        "configuration without digest and deletions: deletedStaysDeleted",
        "configuration without digest and oldestRevision: deletedStaysDeleted",
        "orders without fencingTokenCheck: fencingRejectsOldOrders",
        "orders without fencingTokenFromRevision and higherRevision: fencingRejectsOldOrders",
        "orders without recordsAge: oldOrdersExpire",
        "orders without planAge: oldOrdersExpire",
        "orders without deliveryTime: oldOrdersExpire",
        "targets without evidenceAge: leavingTargetReceivesNoNewWork",
        "targets without ageFromQuery: leavingTargetReceivesNoNewWork",
        "targets without checkBeforeSend: noNewWorkAfterLeavingNotice",
        "targets without leavingIsFinal: noNewWorkAfterLeavingNotice",
        "targets without leavingFromAnySource: noNewWorkAfterLeavingNotice",
        "moves without stopFirst: noConcurrentRuns",
        "moves without fromLastEvent: eventsInOrder",
        "moves without resumeOnlyIfRefused: noConcurrentRuns",
        "moves without neverRerun: singleGeneration",
        "moves without completeOnlyIfWhole: wholeWhenComplete",
        "budget without divideByMaxVisible: totalWithinBudget",
        "budget without divideByFleetSize: totalWithinBudget",
        "budget without halveAfterRestart: totalWithinBudget",
        "budget without zeroUntilJoined: totalWithinBudget",
      ]
    `)
  })
})

describe('mutants with long traces', () => {
  function doTest (guard: string, trace: readonly string[], rejectedStep: string): void {
    const initial = createRequestsState('streamed')
    const mutant = replayTrace({ model: requestsModel, initial, trace, removedGuards: [guard] })
    expect([mutant.rejectedStep, mutant.violatedInvariant]).toEqual([undefined, 'deliveryOnceInOrderOneGeneration'])
    const guarded = replayTrace({ model: requestsModel, initial, trace })
    expect([guarded.rejectedStep, guarded.violatedInvariant]).toEqual([rejectedStep, undefined])
  }

  it('without deliveredFlag, restart a generation after a token was delivered', () => doTest('deliveredFlag', [
    'submit 0', 'dispatch 0', 'connect 1', 'run 1', 'produce 1', 'receive 1', 'cut 1', 'deliver 0 0', 'dispatch 0', 'connect 2', 'run 2',
    'produce 2', 'receive 2', 'deliver 0 0'
  ], 'dispatch 0'))

  it('without callerGeneration, continue a generation with tokens of another', () => doTest('callerGeneration', [
    'submit 0', 'dispatch 0', 'connect 1', 'cut 1', 'dispatch 0', 'connect 2', 'run 1', 'run 2', 'produce 1', 'produce 1', 'produce 2',
    'resume 1 1', 'resume 2 0', 'receiveToken 20', 'receiveToken 11'
  ], 'receiveToken 11'))
})
