import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { pickNeighbors } from '../../src/membership/pickNeighbors.js'

function createNames (size: number): string[] {
  return Array.from({ length: size }, (_, index) => `10.${index % 5}.0.${index}:8748`)
}

/** Returns the highest number of neighbors of an instance, the number of members without an instance that probes them, and the highest number of steps to a member. */
function doTest (size: number): { mostNeighbors: number, unprobed: number, mostSteps: number } {
  const names = createNames(size)
  const neighbors = new Map(names.map(name => [name, pickNeighbors(name, names.filter(other => other !== name))]))
  const probed = new Set([...neighbors.values()].flat())
  const steps = names.slice(0, 10).map(name => countSteps(name, neighbors))
  return { mostNeighbors: Math.max(...[...neighbors.values()].map(list => list.length)), unprobed: size - probed.size, mostSteps: Math.max(...steps) }
}

/** Counts the steps over neighbors, in either direction, until all members are reached. */
function countSteps (start: string, neighbors: ReadonlyMap<string, readonly string[]>): number {
  let reached = new Set([start])
  for (let steps = 0; ; steps++) {
    if (reached.size === neighbors.size) return steps
    const before = reached
    const isNext = ([name, list]: [string, readonly string[]]): boolean => list.some(neighbor => before.has(neighbor))
    reached = new Set([...before, ...[...before].flatMap(name => neighbors.get(name)!), ...[...neighbors].filter(isNext).map(([name]) => name)])
  }
}

describe('pickNeighbors', () => {
  it('picks all members of a small fleet', () => {
    expect(pickNeighbors('a', ['b', 'c'])).toEqual(['b', 'c'])
  })

  it.each([24, 80, 195, 490])('picks few of %i members, and lets each be probed', size => {
    expect({ size, ...doTest(size) }).toMatchSnapshot()
  })

  it('picks the next member on the ring of each instance, by which every member is probed', () => {
    fc.assert(fc.property(fc.uniqueArray(fc.string(), { minLength: 18, maxLength: 60 }), names => {
      const probed = new Set(names.flatMap(name => pickNeighbors(name, names.filter(other => other !== name))))
      expect(probed.size).toBe(names.length)
    }))
  })

  it('keeps most neighbors when one member leaves', () => {
    const names = createNames(195)
    const changed = names.slice(1).flatMap(name => {
      const before = pickNeighbors(name, names.filter(other => other !== name))
      const after = pickNeighbors(name, names.slice(1).filter(other => other !== name))
      return after.filter(neighbor => !before.includes(neighbor))
    })
    expect(changed.length / names.length).toBeLessThan(2)
  })
})
