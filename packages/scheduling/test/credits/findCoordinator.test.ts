import { type Target } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { findCoordinator, type AliveInstance } from '../../src/credits/findCoordinator.js'

const TARGET: Target = { name: 't', url: 'http://t', availabilityZone: 'z1', region: 'r1', fencing: 'ignored' }

function createInstance (instance: string, availabilityZone: string, region = 'r1'): AliveInstance {
  return { instance, availabilityZone, region }
}

function doTest (...instances: readonly AliveInstance[]): string | undefined {
  return findCoordinator(TARGET, instances)
}

const SAME_ZONE_INSTANCES = ['a', 'b', 'c'].map(name => createInstance(name, 'z1'))

describe('findCoordinator', () => {
  it('does not depend on the order of the instances', () => expect(doTest(...SAME_ZONE_INSTANCES)).toBe(doTest(...[...SAME_ZONE_INSTANCES].reverse())))
  it('prefers the availability zone of the target', () => expect(doTest(createInstance('x', 'z2'), createInstance('y', 'z1'))).toBe('y'))
  it('falls back to another availability zone of the region', () => expect(doTest(createInstance('x', 'z2'), createInstance('y', 'z1', 'r2'))).toBe('x'))
  it('falls back to another region', () => expect(doTest(createInstance('x', 'z9', 'r2'))).toBe('x'))
  it('returns undefined when no instance is alive', () => expect(doTest()).toBeUndefined())
  it('changes only when the coordinator itself is removed', () => {
    const first = doTest(...SAME_ZONE_INSTANCES)
    const others = SAME_ZONE_INSTANCES.filter(({ instance }) => instance !== first)
    const coordinators = others.map(removed => doTest(...SAME_ZONE_INSTANCES.filter(({ instance }) => instance !== removed.instance)))
    expect(new Set(coordinators)).toEqual(new Set([first]))
  })
})
