import { describe, expect, it } from 'vitest'
import { createRequestsState, exploreModel, type Model, MODELS, replayTrace, requestsModel } from '../../src/index.js'

/** Mutants whose shortest traces take long to find; their traces are replayed here, and found by the checking command. */
const DEEP = ['deliveredFlag', 'callerGeneration']

function listCaught (model: Model<any>): string[] {
  return model.mutants.filter(({ name }) => !DEEP.includes(name)).map(({ name, removed }) => {
    return `${model.name} without ${name}: ${exploreModel(model, { removed }).violation?.invariant}`
  })
}

describe('mutants', () => {
  it('are caught, each by the invariant that it endangers', () => {
    expect(MODELS.flatMap(listCaught)).toMatchInlineSnapshot(`
      [
        "requests without tombstone: notRunNeverRuns",
        "requests without ownerCheck: notRunNeverRuns",
        "requests without incarnationCheck: notRunNeverRuns",
        "requests without leaseForgotten: notRunNeverRuns",
        "requests without retention: notRunNeverRuns",
        "requests without checkBeforeSend: notRunNeverRuns",
        "requests without bytesSentEarlier: notRunNeverRuns",
        "requests without noRepeatAfterBytes: nonIdempotentAtMostOnce",
        "requests without drainWaits: drainCutsNothing",
        "requests without callerOffset: deliveryOnceInOrderOneGeneration",
        "requests without callerCount: wholeAnswerWhenComplete",
        "replies without ownConnection: ownAnswerOnly",
        "replies without matchedByConnection: ownAnswerOnly",
        "replies without ownId: ownAnswerOnly",
        "configuration without revisionOrder: configurationNeverReverts",
        "configuration without digest and deletions: deletedStaysDeleted",
        "configuration without digest and floor: deletedStaysDeleted",
        "orders without fenceChecked: fenceKeepsOldOrdersOut",
        "orders without fenceFromRevision and higherRevision: fenceKeepsOldOrdersOut",
        "orders without recordsAge: oldOrdersEndSoon",
        "orders without stepAge: oldOrdersEndSoon",
        "orders without deliveryTime: oldOrdersEndSoon",
        "targets without evidenceAge: leavingTargetGetsNothingNew",
        "targets without datedAtQuestion: leavingTargetGetsNothingNew",
        "targets without checkBeforeSend: heardLeavingGetsNothingNew",
        "targets without leavingWins: heardLeavingGetsNothingNew",
        "targets without leavingFromAnySource: heardLeavingGetsNothingNew",
        "moves without stopFirst: notTwice",
        "moves without fromLastEvent: inOrder",
        "moves without refusedOnly: notTwice",
        "moves without neverAnew: oneRun",
        "moves without wholeOnly: wholeWhenComplete",
        "budget without rememberLargest: sumIsAllowed",
        "budget without dividedByFleet: sumIsAllowed",
        "budget without halfWhenFresh: sumIsAllowed",
        "budget without unknownUntilJoined: sumIsAllowed",
      ]
    `)
  })
})

describe('deep mutants', () => {
  function doTest (guard: string, trace: readonly string[], refused: string): void {
    const initial = createRequestsState('streamed')
    const mutant = replayTrace({ model: requestsModel, initial, trace, removed: [guard] })
    expect([mutant.refused, mutant.broken]).toEqual([undefined, 'deliveryOnceInOrderOneGeneration'])
    const whole = replayTrace({ model: requestsModel, initial, trace })
    expect([whole.refused, whole.broken]).toEqual([refused, undefined])
  }

  it('restart a generation of which a token was delivered', () => doTest('deliveredFlag', [
    'submit 0', 'dispatch 0', 'connect 1', 'run 1', 'produce 1', 'take 1', 'cut 1', 'deliver 0 0', 'dispatch 0', 'connect 2', 'run 2',
    'produce 2', 'take 2', 'deliver 0 0'
  ], 'dispatch 0'))

  it('resume a generation from tokens of another', () => doTest('callerGeneration', [
    'submit 0', 'dispatch 0', 'connect 1', 'cut 1', 'dispatch 0', 'connect 2', 'run 1', 'run 2', 'produce 1', 'produce 1', 'produce 2',
    'resume 1 1', 'resume 2 0', 'receiveToken 20', 'receiveToken 11'
  ], 'receiveToken 11'))
})
