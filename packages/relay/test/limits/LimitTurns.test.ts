import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { findTurnUse } from '../../src/limits/LimitTurns.js'

/** Returns the turn and the wait of an instance at a target that accepts two requests a second from three instances. */
function doTest (current: number, rank = 0, lastUsed = -Infinity): number[] {
  const { turn, waitMs } = findTurnUse({ current, perSecond: 2, lastUsed }, { instances: 3, rank })
  return [turn, waitMs]
}

describe('findTurnUse', () => {
  it('gives the instances their turns one after the other', () => expect([0, 1, 2].map(rank => doTest(2.4, rank))).toEqual([[0, 0], [1, 0], [2, 0]]))
  it('gives each instance a turn in each round', () => expect([0.5, 3.5, 6.5].map(current => doTest(current))).toEqual([[0, 0], [3, 0], [6, 0]]))
  it('lets an instance wait for its next turn after it has used one', () => expect(doTest(0.5, 0, 0)).toEqual([3, 1250]))
  it('lets an instance wait for its first turn', () => expect(doTest(0.5, 2)).toEqual([2, 750]))
  it('skips turns that were used in advance', () => expect(doTest(0.5, 0, 3)).toEqual([6, 2750]))
  it('gives no turn that began a long time ago', () => expect(findTurnUse({ current: 8, perSecond: 2, lastUsed: -Infinity }, { instances: 20, rank: 0 })).toEqual({ turn: 20, waitMs: 6000 }))
  it('gives no second turn when the rank changes shortly after a turn was used', () => expect(doTest(4.2, 1, 3)).toEqual([7, 1400]))
  it('gives no turn while the number of instances is not known', () => expect(findTurnUse({ current: 8, perSecond: 2, lastUsed: 0 }, { instances: Infinity, rank: 0 })).toEqual({ turn: 0, waitMs: Infinity }))

  it('bounds the requests of all instances in any window', () => {
    const inputs = fc.record({
      perSecond: fc.double({ min: 0.25, max: 50, noNaN: true }), instances: fc.integer({ min: 1, max: 200 }), startTurn: fc.double({ min: 0, max: 1000, noNaN: true }), windowS: fc.constantFrom(0.5, 1, 4)
    })
    fc.assert(fc.property(inputs, ({ perSecond, instances, startTurn, windowS }) => {
      const stepS = 0.05
      let sent = 0
      // No instance has sent anything before the window, and all send as often as they may in it.
      for (let rank = 0; rank < instances; rank++) {
        let lastUsed = -Infinity
        for (let atS = 0; atS <= windowS; atS += stepS) {
          const use = findTurnUse({ current: startTurn + atS * perSecond, perSecond, lastUsed }, { instances, rank })
          if (use.waitMs > 0) continue
          lastUsed = use.turn
          sent++
        }
      }
      expect(sent).toBeLessThanOrEqual(perSecond * windowS + perSecond + 3 + 1)
    }))
  })
})
