import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { WorkspaceShares } from '../../src/admission/WorkspaceShares.js'

/** Returns the share of each workspace in the capacity, relative to its share in the demand. */
function doTest (demand: Readonly<Record<string, number>>): Record<string, number> {
  const shares = WorkspaceShares.create(VirtualClock.create())
  for (const [workspace, cost] of Object.entries(demand)) shares.recordArrival(workspace, cost)
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  const totalWeight = sum(Object.keys(demand).map(workspace => shares.getWeight(workspace)))
  return Object.fromEntries(Object.entries(demand).map(([workspace, cost]) => [workspace, shares.getWeight(workspace) / totalWeight / (cost / sum(Object.values(demand)))]))
}

describe('WorkspaceShares', () => {
  it('serves a workspace with ten times the demand of each other one at least half as often as all', () => {
    const small = Object.fromEntries(Array.from({ length: 23 }, (_, index) => [`w${index}`, 100]))
    const { large, w0 } = doTest({ ...small, large: 1000 })
    expect(large).toBeGreaterThanOrEqual(0.5)
    expect(w0).toBeGreaterThan(1)
  })

  it('divides the capacity equally among equal workspaces', () => {
    expect(doTest({ a: 5, b: 5 })).toEqual({ a: 1, b: 1 })
  })

  it('gives a workspace without recorded demand the equal half of its share', () => {
    const shares = WorkspaceShares.create(VirtualClock.create())
    shares.recordArrival('a', 100)
    expect([shares.getWeight('new'), shares.getWeight('a')]).toEqual([1, 2])
  })
})
