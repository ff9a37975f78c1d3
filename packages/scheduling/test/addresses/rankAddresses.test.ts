import { EMPTY_SNAPSHOT, type Snapshot } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { rankAddresses, type RankedMember } from '../../src/index.js'

function createMember (instance: string, availabilityZone: string, state: RankedMember['state'] = 'alive'): RankedMember {
  return { instance, url: `http://${instance}`, availabilityZone, region: 'r', state }
}

const MEMBERS = ['a', 'b', 'c', 'd', 'e', 'f'].map((name, index) => createMember(name, `z${index % 3}`))

function doTest (workspace: string, members: readonly RankedMember[], extra: { availabilityZone?: string, rotationOffset?: number, snapshot?: Snapshot } = {}): string {
  const addresses = rankAddresses({ service: 's', workspace, members, snapshot: EMPTY_SNAPSHOT, ...extra })
  return addresses.map(address => address.instance).join(' ')
}

describe('rankAddresses', () => {
  it('does not depend on the order of the members', () => {
    expect(doTest('w', MEMBERS)).toBe(doTest('w', [...MEMBERS].reverse()))
  })

  it('keeps the order of the others when a member is removed', () => {
    const [first, second] = doTest('w', MEMBERS).split(' ')
    expect(doTest('w', MEMBERS.filter(member => member.instance !== first)).split(' ')[0]).toBe(second)
  })

  it('excludes members that are leaving, suspect or dead', () => {
    expect(doTest('w', [createMember('a', 'z', 'leaving'), createMember('b', 'z', 'suspect'), createMember('c', 'z', 'dead'), createMember('d', 'z')])).toBe('d')
  })

  it('falls back to suspect members when none is alive', () => {
    expect(doTest('w', [createMember('a', 'z', 'suspect'), createMember('b', 'z', 'dead')])).toBe('a')
  })

  it('prefers the availability zone of the instance that answers', () => {
    const zoneOf = new Map(MEMBERS.map(member => [member.instance, member.availabilityZone]))
    const zones = doTest('w', MEMBERS, { availabilityZone: 'z1' }).split(' ').map(name => zoneOf.get(name))
    expect(zones.slice(0, 2)).toEqual(['z1', 'z1'])
  })

  it('spreads a large workspace over several instances', () => {
    const workspaces = new Map([['w', { name: 'w', weight: 9 }], ['v', { name: 'v', weight: 3 }]])
    const snapshot = { ...EMPTY_SNAPSHOT, workspaces }
    const countFirstInstances = (workspace: string): number => new Set([0, 1, 2, 3, 4, 5].map(rotationOffset => doTest(workspace, MEMBERS, { snapshot, rotationOffset }).split(' ')[0])).size
    expect([countFirstInstances('w'), countFirstInstances('v')]).toEqual([5, 2])
  })
})
