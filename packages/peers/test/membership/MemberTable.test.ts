import { VirtualClock } from '@fescuespoke/common'
import { type MemberNews } from '@fescuespoke/schema'
import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MemberTable, type NewsSource } from '../../src/membership/MemberTable.js'

function createNews (changes: Partial<MemberNews>): MemberNews {
  const news: MemberNews = { instance: 'a', incarnation: 'run1', counter: 0, state: 'alive', url: 'u', peerAddress: 'a:1', availabilityZone: 'az1', region: 'r1' }
  return { ...news, ...changes }
}

/** Accepts news in order and returns what the table believes. */
function doTest (...told: Array<readonly [Partial<MemberNews>, NewsSource]>): string {
  const table = MemberTable.create({ clock: VirtualClock.create(), onChange: () => {} })
  for (const [changes, source] of told) table.acceptNews(createNews(changes), source, 'test')
  const member = table.get('a')
  return member === undefined ? 'unknown' : `${member.incarnation} ${member.counter} ${member.state}`
}

describe('MemberTable', () => {
  it('believes in an instance it hears of', () => {
    expect(doTest([{}, 'another'])).toMatchInlineSnapshot('"run1 0 alive"')
  })

  it('does not take in an instance that it hears of as dead', () => {
    expect(doTest([{ state: 'dead' }, 'another'])).toMatchInlineSnapshot('"unknown"')
  })

  it('believes a suspicion of the same counter', () => {
    expect(doTest([{}, 'another'], [{ state: 'suspect' }, 'another'])).toMatchInlineSnapshot('"run1 0 suspect"')
  })

  it('keeps a suspicion until the counter is raised', () => {
    expect(doTest([{ state: 'suspect' }, 'another'], [{}, 'itself'])).toMatchInlineSnapshot('"run1 0 suspect"')
  })

  it('believes a refutation', () => {
    expect(doTest([{ state: 'suspect' }, 'another'], [{ counter: 1 }, 'another'])).toMatchInlineSnapshot('"run1 1 alive"')
  })

  it('believes an instance that comes back from the dead', () => {
    expect(doTest([{}, 'another'], [{ state: 'dead' }, 'another'], [{ counter: 1 }, 'another'])).toMatchInlineSnapshot('"run1 1 alive"')
  })

  it('believes an instance that tells of its own restart', () => {
    expect(doTest([{ counter: 4 }, 'another'], [{ incarnation: 'run2' }, 'itself'])).toMatchInlineSnapshot('"run2 5 alive"')
  })

  it('does not believe hearsay of a restart without a higher counter', () => {
    expect(doTest([{ counter: 4 }, 'another'], [{ incarnation: 'run2' }, 'another'])).toMatchInlineSnapshot('"run1 4 alive"')
  })

  it('ignores a replaced incarnation that wakes up late', () => {
    expect(doTest([{}, 'itself'], [{ incarnation: 'run2' }, 'itself'], [{ counter: 9 }, 'itself'])).toMatchInlineSnapshot('"run2 1 alive"')
  })

  it('believes the same in the end, in whichever order the news of one incarnation comes', () => {
    const news = fc.record({ counter: fc.nat(3), state: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const, 'leaving' as const) })
    fc.assert(fc.property(fc.array(news, { minLength: 1, maxLength: 6 }), told => {
      const first: [Partial<MemberNews>, NewsSource] = [{}, 'itself']
      const forth = told.map(changes => [changes, 'another'] as const)
      expect(doTest(first, ...forth)).toBe(doTest(first, ...[...forth].reverse()))
    }), { seed: 1 })
  })
})
