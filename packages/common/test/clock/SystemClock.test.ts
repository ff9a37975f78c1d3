import { SystemClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'

/** Reads a clock after each step, in which the process runs and the machine is suspended for some milliseconds. */
function doTest (...steps: Array<readonly [runMs: number, suspendedMs: number]>): number[] {
  let steadyMs = 0
  let uptimeMs = 5000
  const clock = SystemClock.create({ readSteadyMs: () => steadyMs, readUptimeMs: () => uptimeMs })
  return steps.map(([runMs, suspendedMs]) => {
    steadyMs += runMs
    uptimeMs += runMs + suspendedMs
    clock.observeSuspension()
    return clock.nowMs()
  })
}

describe('SystemClock', () => {
  it('reads the time of the process', () => expect(doTest([100, 0], [50, 0])).toEqual([100, 150]))
  it('takes in suspensions, during which the steady reading stands still', () => expect(doTest([100, 0], [10, 4000], [10, 0])).toEqual([100, 4110, 4120]))
  it('takes in each of several', () => expect(doTest([0, 1000], [0, 2000])).toEqual([1000, 3000]))
  it('does not take coarse readings of the uptime for suspensions', () => expect(doTest([100, 10], [100, -10])).toEqual([100, 200]))
  it('reads a real clock', () => expect(SystemClock.create().nowMs()).toBeGreaterThan(0))
})
