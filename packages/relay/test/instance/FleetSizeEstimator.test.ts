import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { FleetSizeEstimator, JOIN_TIMEOUT_MS } from '../../src/instance/FleetSizeEstimator.js'

/** Reads the size after each step: time that passes in milliseconds, instances thought alive, and other seeds. */
function doTest (...steps: Array<readonly [afterMs: number, alive: number, seeds?: number]>): number[] {
  const clock = VirtualClock.create()
  let reading = { alive: 1, seeds: 0 }
  const estimator = FleetSizeEstimator.create({ clock, countAlive: () => reading.alive, countSeeds: () => reading.seeds })
  return steps.map(([afterMs, alive, seeds = 0]) => {
    clock.jump(afterMs)
    reading = { alive, seeds }
    return estimator.estimateCount()
  })
}

describe('FleetSize', () => {
  it('is one where no other instance is named', () => expect(doTest([0, 1])).toEqual([1]))
  it('is unknown while no peer that is named has answered', () => expect(doTest([100, 1, 2], [JOIN_TIMEOUT_MS - 200, 1, 2])).toEqual([Infinity, Infinity]))
  it('is known once a peer has answered', () => expect(doTest([100, 1, 2], [100, 8, 2])).toEqual([Infinity, 8]))
  it('counts the instances that are named when none has answered in time', () => expect(doTest([JOIN_TIMEOUT_MS, 1, 2])).toEqual([3]))
  it('does not shrink at once when instances are lost', () => expect(doTest([0, 8], [1000, 2], [30_000, 2])).toEqual([8, 8, 2]))
  it('is not unknown again when all peers are lost later', () => expect(doTest([0, 8, 2], [JOIN_TIMEOUT_MS, 1, 2])).toEqual([8, 8]))
})
