import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type ColdFleet, computeColdIntervalMs } from '../../src/limits/computeColdInterval.js'

const BOUND = { overage: 1.5, slack: 5 }

/** Returns the interval between two requests to a target that takes 31 requests a second while it is cold, in milliseconds. */
function doTest (fleet: Partial<ColdFleet>, perSecond = 31): number {
  return Math.round(computeColdIntervalMs(perSecond, BOUND, { alive: 1, possible: 1, rank: 0, ...fleet }))
}

describe('computeColdIntervalMs', () => {
  it('gives a single instance the whole rate', () => expect(doTest({})).toBe(32))
  it('shares the rate evenly', () => expect(doTest({ alive: 10, possible: 10 })).toBe(323))
  it('lets no instance use more than its share of the bound, although the even share is higher', () => expect(doTest({ alive: 40, possible: 40 })).toBe(1500))
  it('leaves a target to as many instances as the bound allows requests', () => expect([0, 50, 51].map(rank => doTest({ alive: 58, possible: 58, rank }))).toEqual([1645, 1645, Infinity]))
  it('leaves out instances that may be running out of reach from the even share, but not from the bound', () => expect(doTest({ alive: 5, possible: 20 })).toBe(750))
  it('gives no turns while the number of instances is not known', () => expect(doTest({ possible: Infinity })).toBe(Infinity))
  it('gives no turns where the bound allows no request', () => expect(computeColdIntervalMs(0.2, { overage: 1, slack: 0 }, { alive: 1, possible: 1, rank: 0 })).toBe(Infinity))

  it('bounds the sum of the shares of all instances', () => {
    const inputs = fc.record({ perSecond: fc.double({ min: 0.1, max: 200, noNaN: true }), instances: fc.integer({ min: 1, max: 490 }) })
    fc.assert(fc.property(inputs, ({ perSecond, instances }) => {
      let requests = 0
      for (let rank = 0; rank < instances; rank++) {
        const intervalMs = computeColdIntervalMs(perSecond, BOUND, { alive: 1, possible: instances, rank })
        // Requests in one second whose turns may have been taken up to 400 ms before.
        if (Number.isFinite(intervalMs)) requests += Math.floor(1400 / intervalMs) + 1
      }
      expect(requests).toBeLessThanOrEqual(perSecond * BOUND.overage + BOUND.slack)
    }))
  })
})
