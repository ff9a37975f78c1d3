import { describe, expect, it } from 'vitest'
import { computePlacement, convertRecords } from '../../src/index.js'
import { computeFencingTokenRevision, computeFirstFencingToken, computeTakeoverFencingToken } from '../../src/orders/FencingToken.js'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'

const NAMES = Array.from({ length: 10 }, (_, index) => `t${index}`)

function doTest (service: object, live: readonly string[] = NAMES): Record<string, string> {
  const values = createValues({ targets: NAMES.map(name => createTargetItem(name)), service: createServiceItem('s', service) })
  const placement = computePlacement(convertRecords(values, 1).snapshot, new Set(live))
  return Object.fromEntries([...placement].map(([target, models]) =>
    [target, models.map(({ model, adapter = '', version = '' }) => `${model}|${adapter}|${version}`).join(' ')]))
}

describe('computePlacement', () => {
  it('places the models of the service and of its workspaces on the same targets', () => {
    expect(doTest({ copies: 2, workspaces: [{ workspace: 'w', adapter: 'a' }] })).toMatchInlineSnapshot(`
      {
        "t3": "m1|a| m1||",
        "t4": "m1|a| m1||",
      }
    `)
  })

  it('keeps the targets when the version changes', () => {
    const [first, second] = ['1', '2'].map(version => Object.keys(doTest({ copies: 4, runs: { model: 'm', version } })))
    expect(second).toEqual(first)
  })

  it('moves only the copies of a removed target', () => {
    const before = Object.keys(doTest({ copies: 4 }))
    const after = Object.keys(doTest({ copies: 4 }, NAMES.filter(name => name !== before[0])))
    expect(after.filter(name => before.includes(name))).toEqual(before.slice(1))
  })

  it('adds copies without moving existing ones', () => {
    const before = Object.keys(doTest({ copies: 3 }))
    expect(Object.keys(doTest({ copies: 5 })).slice(0, 3)).toEqual(before)
  })

  it('places no models for services that run none', () => {
    expect(doTest({ runs: undefined })).toEqual({})
  })
})

describe('fencing tokens', () => {
  it('increase with the revision and with each takeover', () => {
    const first = computeFirstFencingToken(5)
    expect([first, computeTakeoverFencingToken(5, undefined), computeTakeoverFencingToken(5, 7), computeTakeoverFencingToken(5, first)])
      .toEqual([first, first, first, first + 1])
  })

  it('never reach the tokens of the next revision', () => {
    expect(computeFencingTokenRevision(computeTakeoverFencingToken(5, computeFirstFencingToken(6) - 1))).toBe(5)
  })
})
