import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { computeCopyMs, computeTurnMs, type HeldMemory } from '../../src/moves/computeTurn.js'
import { ENGINES } from '../support/createTools.js'

const profile = ENGINES.engine!

function doTest (instance: string, peers: HeldMemory[]): number {
  return computeTurnMs('engine', instance, peers, profile)
}

describe('computeCopyMs', () => {
  it('is the size over the speed of the link', () => {
    expect(computeCopyMs(1000, profile)).toBe(8)
  })

  it('is nothing where the speed is not known', () => {
    expect(computeCopyMs(1000, { ...profile, linkMbps: 0 })).toBe(0)
  })
})

describe('computeTurnMs', () => {
  it('is at once without others', () => {
    expect(doTest('a', [])).toBe(0)
  })

  it('is at once when the others hold nothing', () => {
    expect(doTest('a', [{ instance: 'b', tokens: 0 }, { instance: 'c', tokens: 0 }])).toBe(0)
  })

  it('lets instances that know the same begin one after the other, never together', () => {
    const tokens = fc.array(fc.integer({ min: 1, max: 9000 }), { minLength: 2, maxLength: 8 })
    fc.assert(fc.property(tokens, held => {
      const all = held.map((count, index) => ({ instance: `n${index}`, tokens: count }))
      const turns = all.map(own => ({ own, startMs: doTest(own.instance, all.filter(other => other !== own)) })).sort((a, b) => a.startMs - b.startMs)
      expect(turns[0]?.startMs).toBe(0)
      turns.slice(1).forEach(({ startMs }, index) => {
        const before = turns[index]!
        expect(startMs).toBeGreaterThanOrEqual(before.startMs + computeCopyMs(before.own.tokens, profile))
      })
    }))
  })
})
