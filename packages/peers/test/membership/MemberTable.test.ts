import { VirtualClock } from '@fescuespoke/common'
import { type MemberNews } from '@fescuespoke/schema'
import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MemberTable, type UpdateSource } from '../../src/membership/MemberTable.js'

function createUpdate (changes: Partial<MemberNews>): MemberNews {
  const update: MemberNews = { instance: 'a', incarnation: 'run1', counter: 0, state: 'alive', url: 'u', peerAddress: 'a:1', availabilityZone: 'az1', region: 'r1' }
  return { ...update, ...changes }
}

/** Applies updates in order and returns the resulting record of the instance. */
function doTest (...updates: Array<readonly [Partial<MemberNews>, UpdateSource]>): string {
  const table = MemberTable.create({ clock: VirtualClock.create(), onChange: () => {} })
  for (const [changes, source] of updates) table.applyUpdate(createUpdate(changes), source, 'test')
  const member = table.get('a')
  return member === undefined ? 'unknown' : `${member.incarnation} ${member.counter} ${member.state}`
}

describe('MemberTable', () => {
  it('adds an instance reported as alive', () => {
    expect(doTest([{}, 'thirdParty'])).toMatchInlineSnapshot('"run1 0 alive"')
  })

  it('does not add an instance reported as dead', () => {
    expect(doTest([{ state: 'dead' }, 'thirdParty'])).toMatchInlineSnapshot('"unknown"')
  })

  it('applies a suspicion with the same counter', () => {
    expect(doTest([{}, 'thirdParty'], [{ state: 'suspect' }, 'thirdParty'])).toMatchInlineSnapshot('"run1 0 suspect"')
  })

  it('keeps a suspicion until the counter is incremented', () => {
    expect(doTest([{ state: 'suspect' }, 'thirdParty'], [{}, 'subject'])).toMatchInlineSnapshot('"run1 0 suspect"')
  })

  it('applies a refutation', () => {
    expect(doTest([{ state: 'suspect' }, 'thirdParty'], [{ counter: 1 }, 'thirdParty'])).toMatchInlineSnapshot('"run1 1 alive"')
  })

  it('marks a dead instance as alive after an update with a higher counter', () => {
    expect(doTest([{}, 'thirdParty'], [{ state: 'dead' }, 'thirdParty'], [{ counter: 1 }, 'thirdParty'])).toMatchInlineSnapshot('"run1 1 alive"')
  })

  it('applies a restart reported by the instance itself', () => {
    expect(doTest([{ counter: 4 }, 'thirdParty'], [{ incarnation: 'run2' }, 'subject'])).toMatchInlineSnapshot('"run2 5 alive"')
  })

  it('ignores a restart reported by another instance without a higher counter', () => {
    expect(doTest([{ counter: 4 }, 'thirdParty'], [{ incarnation: 'run2' }, 'thirdParty'])).toMatchInlineSnapshot('"run1 4 alive"')
  })

  it('ignores late updates of a replaced incarnation', () => {
    expect(doTest([{}, 'subject'], [{ incarnation: 'run2' }, 'subject'], [{ counter: 9 }, 'subject'])).toMatchInlineSnapshot('"run2 1 alive"')
  })

  it('converges to the same record for any order of the updates of one incarnation', () => {
    const changesArbitrary = fc.record({ counter: fc.nat(3), state: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const, 'leaving' as const) })
    fc.assert(fc.property(fc.array(changesArbitrary, { minLength: 1, maxLength: 6 }), changesList => {
      const firstUpdate: [Partial<MemberNews>, UpdateSource] = [{}, 'subject']
      const laterUpdates = changesList.map(changes => [changes, 'thirdParty'] as const)
      expect(doTest(firstUpdate, ...laterUpdates)).toBe(doTest(firstUpdate, ...[...laterUpdates].reverse()))
    }), { seed: 1 })
  })
})
