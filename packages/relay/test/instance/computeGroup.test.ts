import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createTarget } from '../support/createTestDependencies.js'
import { computeGroup, MAX_GROUP_SIZE, pickGroupTargets, type ZonedInstance } from '../../src/instance/computeGroup.js'

function createFleet (sizes: readonly number[]): ZonedInstance[] {
  return sizes.flatMap((size, zone) => Array.from({ length: size }, (_, index) => ({ instance: `z${zone}-n${index}`, availabilityZone: `z${zone}` })))
}

/** Returns the group of each instance. */
function doTest (sizes: readonly number[]): Array<ReturnType<typeof computeGroup>> {
  const fleet = createFleet(sizes)
  return fleet.map(instance => computeGroup(instance, fleet))
}

describe('computeGroup', () => {
  it('forms a single group of a small fleet over all availability zones', () => {
    expect(doTest([2, 2, 2])[0]).toEqual({ instances: ['z0-n0', 'z0-n1', 'z1-n0', 'z1-n1', 'z2-n0', 'z2-n1'], index: 0, count: 1 })
  })

  it('divides a large fleet by zones', () => {
    expect(doTest([27, 27, 26]).map(({ instances }) => instances.length).sort((a, b) => a - b).at(-1)).toBeLessThanOrEqual(MAX_GROUP_SIZE)
  })

  it('includes an instance that is not yet considered alive', () => {
    expect(computeGroup({ instance: 'n', availabilityZone: 'z' }, []).instances).toEqual(['n'])
  })

  it('assigns each instance to one group on which all its members agree', () => {
    fc.assert(fc.property(fc.array(fc.nat(40), { minLength: 1, maxLength: 4 }), sizes => {
      const groups = doTest(sizes)
      const fleet = createFleet(sizes)
      groups.forEach((group, index) => {
        expect(group.instances).toContain(fleet[index]!.instance)
        expect(group.instances.length).toBeLessThanOrEqual(MAX_GROUP_SIZE)
        for (const other of group.instances) expect(groups[fleet.findIndex(({ instance }) => instance === other)]).toEqual(group)
      })
    }))
  })
})

describe('pickGroupTargets', () => {
  const targets = ['c', 'a', 'b', 'e', 'd'].map(name => createTarget(name))
  const far = createTarget('f', { availabilityZone: 'z2' })
  const pick = (index: number, count: number): string[] => [...pickGroupTargets({ instances: [], index, count }, 'z1', [...targets, far])]

  it('divides the targets of the zone equally among its groups', () => expect([pick(0, 2), pick(1, 2)]).toEqual([['a', 'c', 'e'], ['b', 'd']]))
  /** Returns the shares of two groups, of which some targets have another speed. */
  const pickBySpeed = (speeds: Record<string, number>): string[][] => [0, 1].map(index => [...pickGroupTargets({ instances: [], index, count: 2 }, 'z1', targets, ({ name }) => speeds[name] ?? 1)].sort())

  it('gives a group with slow targets more of them', () => expect(pickBySpeed({ a: 0.4, c: 0.4, e: 0.4 })).toEqual([['a', 'c', 'e'], ['b', 'd']]))
  it('moves a target to a group whose targets are slow', () => expect(pickBySpeed({ b: 0.4, d: 0.4 })).toEqual([['c', 'e'], ['a', 'b', 'd']]))
  it('keeps the shares when a difference is smaller than any target', () => expect(pickBySpeed({ a: 0.8 })).toEqual([['a', 'c', 'e'], ['b', 'd']]))
  it('gives each target to one group', () => fc.assert(fc.property(fc.array(fc.double({ min: 0.1, max: 10, noNaN: true }), { minLength: 5, maxLength: 5 }), speeds => {
    const shares = pickBySpeed(Object.fromEntries(targets.map(({ name }, index) => [name, speeds[index]!])))
    expect(shares.flat().sort()).toEqual(['a', 'b', 'c', 'd', 'e'])
  })))
  it('assigns all targets to a single group', () => expect(pick(0, 1).length).toBe(6))
})
