import { describe, expect, it } from 'vitest'
import { configurationModel, exploreModel, type Model, repliesModel, requestsModel, targetsModel } from '../../src/index.js'

/** Creates a model of a counter that must stay below a bound. */
function createCounter (bound: number): Model<number> {
  return {
    name: 'counter',
    guards: ['bound'],
    mutants: [{ name: 'bound', removedGuards: ['bound'] }],
    invariants: { staysBelow: state => state < bound },
    listInitialStates: () => [0],
    listSteps: (state, guards) => {
      const isStuck = guards.has('bound') && state + 1 >= bound
      return isStuck ? [] : [{ name: 'add 1', next: state + 1 }]
    }
  }
}

describe('exploreModel', () => {
  it('counts states and transitions', () => {
    expect(exploreModel(createCounter(3))).toMatchInlineSnapshot(`
      {
        "actions": [
          "add",
        ],
        "depth": 2,
        "states": 3,
        "transitions": 2,
        "violation": undefined,
      }
    `)
  })

  it('returns the shortest trace to a violated invariant', () => {
    expect(exploreModel(createCounter(2), { removedGuards: ['bound'] }).violation).toEqual({ invariant: 'staysBelow', trace: ['add 1', 'add 1'] })
  })

  it('throws when the model exceeds the maximum number of states', () => {
    expect(() => exploreModel(createCounter(9), { maxStates: 3 })).toThrow('more than 3 states')
  })
})

describe('models', () => {
  function doTest (model: Model<any>, states: number): void {
    const exploration = exploreModel(model)
    expect(exploration.violation).toBeUndefined()
    expect(exploration.states).toBe(states)
  }

  it('requests holds its invariants for calls', () => {
    const calls = ['charge', 'lookup']
    doTest({ ...requestsModel, listInitialStates: () => requestsModel.listInitialStates().filter(({ kind }) => calls.includes(kind)) }, 2986)
  })
  it('replies holds its invariants', () => doTest(repliesModel, 49))
  it('configuration holds its invariants', () => doTest(configurationModel, 2359))
  it('targets holds its invariants', () => doTest(targetsModel, 8272))
})
