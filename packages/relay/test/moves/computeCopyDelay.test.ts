import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { computeCopyDurationMs, computeCopyDelayMs, type HeldMemory } from '../../src/moves/computeCopyDelay.js'
import { ENGINES } from '../support/createTestDependencies.js'

const profile = ENGINES.engine!

function doTest (instance: string, peers: HeldMemory[]): number {
  return computeCopyDelayMs('engine', instance, peers, profile)
}

describe('computeCopyDurationMs', () => {
  it('divides the size by the bandwidth of the link', () => {
    expect(computeCopyDurationMs(1000, profile)).toBe(8)
  })

  it('returns 0 when the bandwidth is unknown', () => {
    expect(computeCopyDurationMs(1000, { ...profile, linkMbps: 0 })).toBe(0)
  })
})

describe('computeCopyDelayMs', () => {
  it('returns 0 without other instances', () => {
    expect(doTest('a', [])).toBe(0)
  })

  it('returns 0 when the other instances hold no memory', () => {
    expect(doTest('a', [{ instance: 'b', tokens: 0 }, { instance: 'c', tokens: 0 }])).toBe(0)
  })

  it('lets instances with the same loads start one after the other, without overlap', () => {
    const tokens = fc.array(fc.integer({ min: 1, max: 9000 }), { minLength: 2, maxLength: 8 })
    fc.assert(fc.property(tokens, tokenCounts => {
      const memories = tokenCounts.map((count, index) => ({ instance: `n${index}`, tokens: count }))
      const starts = memories.map(memory => ({ memory, startMs: doTest(memory.instance, memories.filter(other => other !== memory)) })).sort((a, b) => a.startMs - b.startMs)
      expect(starts[0]?.startMs).toBe(0)
      starts.slice(1).forEach(({ startMs }, index) => {
        const previous = starts[index]!
        expect(startMs).toBeGreaterThanOrEqual(previous.startMs + computeCopyDurationMs(previous.memory.tokens, profile))
      })
    }))
  })
})
