import { describe, expect, it } from 'vitest'
import { checkSpecification, compareTrace, MODELS, parseItf, repliesModel, runQuint } from '../../src/index.js'

describe('checkSpecification', () => {
  it('reproduces traces of every specification in the model of the same name', async () => {
    const results = await Promise.all(MODELS.map(async model => await checkSpecification(model, { seed: 2, maxSamples: 10, maxSteps: 25, comparedTraceCount: 5 })))
    expect(results.filter(({ passed }) => !passed)).toEqual([])
  })
})

describe('runQuint', () => {
  it('fails when an invariant is violated', async () => {
    const run = await runQuint({ name: 'replies', invariants: ['not(repliesMatchCallers)'], seed: 1, maxSamples: 1, maxSteps: 1, traceCount: 1 })
    expect(run.passed).toBe(false)
    expect(run.output).toContain('[violation]')
  })
})

describe('compareTrace', () => {
  const [initial] = repliesModel.listInitialStates()

  it('reports a step that the model does not have', () => {
    const wrong = { ...initial, receivedReplies: [2, 0] }
    expect(compareTrace(repliesModel, [initial, wrong]).difference).toContain('no step from')
  })

  it('reports an initial state that the model does not have', () => {
    expect(compareTrace(repliesModel, [{}]).difference).toContain('no initial state')
  })
})

describe('parseItf', () => {
  it('converts numbers, sets and records', () => {
    const text = '{"states":[{"state":{"a":{"#bigint":"3"},"b":{"#set":["y","x"]},"c":[{"d":true}]}}]}'
    expect(parseItf(text)).toEqual([{ a: 3, b: ['x', 'y'], c: [{ d: true }] }])
  })
})
