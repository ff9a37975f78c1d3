import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { FleetSizeEstimator, JOIN_TIMEOUT_MS } from '../../src/instance/FleetSizeEstimator.js'

/** Returns the estimate after each step: elapsed milliseconds, instances considered alive, and other seeds. */
function doTest (...steps: Array<readonly [afterMs: number, alive: number, seeds?: number]>): number[] {
  const clock = VirtualClock.create()
  let reading = { alive: 1, seeds: 0 }
  const estimator = FleetSizeEstimator.create({ clock, countAlive: () => reading.alive, countSeeds: () => reading.seeds })
  return steps.map(([afterMs, alive, seeds = 0]) => {
    clock.jump(afterMs)
    reading = { alive, seeds }
    return estimator.estimateSize()
  })
}

describe('FleetSizeEstimator', () => {
  it('returns one when there are no other seeds', () => expect(doTest([0, 1])).toEqual([1]))
  it('returns infinity while no seed has answered', () => expect(doTest([100, 1, 2], [JOIN_TIMEOUT_MS - 200, 1, 2])).toEqual([Infinity, Infinity]))
  it('returns the number of instances once a peer has answered', () => expect(doTest([100, 1, 2], [100, 8, 2])).toEqual([Infinity, 8]))
  it('counts the seeds when none has answered before the join timeout', () => expect(doTest([JOIN_TIMEOUT_MS, 1, 2])).toEqual([3]))
  it('does not decrease immediately when instances are lost', () => expect(doTest([0, 8], [1000, 2], [30_000, 2])).toEqual([8, 8, 2]))
  it('does not return infinity when all peers are lost later', () => expect(doTest([0, 8, 2], [JOIN_TIMEOUT_MS, 1, 2])).toEqual([8, 8]))
})
