import { describe, expect, it } from 'vitest'
import { checkSpecification, compareTrace, MODELS, parseItf, repliesModel, runQuint } from '../../src/index.js'

describe('checkSpecification', () => {
  it('takes the traces of every specification in the model of the same name', async () => {
    const results = await Promise.all(MODELS.map(async model => await checkSpecification(model, { seed: 2, samples: 10, steps: 25, compared: 5 })))
    expect(results.filter(({ passed }) => !passed)).toEqual([])
  })
})

describe('runQuint', () => {
  it('fails when an invariant does not hold', async () => {
    const run = await runQuint({ name: 'replies', invariants: ['not(ownAnswerOnly)'], seed: 1, samples: 1, steps: 1, traces: 1 })
    expect(run.passed).toBe(false)
    expect(run.output).toContain('[violation]')
  })
})

describe('compareTrace', () => {
  const [initial] = repliesModel.listInitial()

  it('tells of a step that the model does not take', () => {
    const wrong = { ...initial, delivered: [2, 0] }
    expect(compareTrace(repliesModel, [initial, wrong]).difference).toContain('no step from')
  })

  it('tells of an initial state that the model does not have', () => {
    expect(compareTrace(repliesModel, [{}]).difference).toContain('no initial state')
  })
})

describe('parseItf', () => {
  it('converts numbers, sets and records', () => {
    const text = '{"states":[{"state":{"a":{"#bigint":"3"},"b":{"#set":["y","x"]},"c":[{"d":true}]}}]}'
    expect(parseItf(text)).toEqual([{ a: 3, b: ['x', 'y'], c: [{ d: true }] }])
  })
})
