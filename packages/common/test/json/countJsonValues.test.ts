import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { countJsonValues } from '../../src/json/countJsonValues.js'

function countValues (value: unknown): number {
  if (typeof value !== 'object' || value === null) return 1
  return Object.values(value).reduce<number>((sum, member) => sum + countValues(member), 1)
}

describe('countJsonValues', () => {
  it('never counts fewer values than there are', () => {
    fc.assert(fc.property(fc.jsonValue(), value => { expect(countJsonValues(JSON.stringify(value))).toBeGreaterThanOrEqual(countValues(value)) }))
  })

  it('counts as many as there are when strings contain no separators', () => {
    expect(countJsonValues('{"a":["b",{"c":1}]}')).toBeLessThanOrEqual(2 * countValues({ a: ['b', { c: 1 }] }))
  })
})
