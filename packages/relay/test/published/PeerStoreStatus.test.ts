import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { PeerStoreStatus } from '../../src/published/PeerStoreStatus.js'

/** Records reports, each after some time, and returns the age of the answer and the time since the outage some time later. */
function doTest (laterMs: number, ...reports: Array<readonly [afterMs: number, ageMs: number, timeSinceOutageMs: number]>): { ageMs: number, timeSinceOutageMs: number } {
  const clock = VirtualClock.create()
  clock.jump(100_000)
  const status = PeerStoreStatus.create(clock)
  for (const [afterMs, ageMs, timeSinceOutageMs] of reports) {
    clock.jump(afterMs)
    status.recordAnswer(ageMs, timeSinceOutageMs)
  }
  clock.jump(laterMs)
  return { ageMs: status.getAgeMs(), timeSinceOutageMs: status.getTimeSinceOutageMs() }
}

describe('PeerStoreStatus', () => {
  it('returns infinite ages without reports', () => expect(doTest(0)).toEqual({ ageMs: Infinity, timeSinceOutageMs: Infinity }))
  it('adds the time since the report', () => expect(doTest(100, [0, 50, 900])).toEqual({ ageMs: 150, timeSinceOutageMs: 1000 }))
  it('keeps the latest answer of any peer', () => expect(doTest(0, [0, 50, 900], [10, 400, 900]).ageMs).toBe(60))
  it('keeps the latest outage of any peer', () => expect(doTest(0, [0, 50, 900], [10, 50, 60_000]).timeSinceOutageMs).toBe(910))
})
