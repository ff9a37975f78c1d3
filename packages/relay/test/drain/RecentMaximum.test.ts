import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RecentMaximum } from '../../src/drain/RecentMaximum.js'

const PERIOD_MS = 1000

/** Records values at times in milliseconds, and returns the maximum at another time. */
async function doTest (values: ReadonlyArray<readonly [number, number]>, atMs: number): Promise<number | undefined> {
  const clock = VirtualClock.create()
  const maximum = RecentMaximum.create(clock, PERIOD_MS)
  for (const [timeMs, value] of values) {
    await clock.advance(timeMs - clock.nowMs())
    maximum.record(value)
  }
  await clock.advance(atMs - clock.nowMs())
  return maximum.get()
}

describe('RecentMaximum', () => {
  it('is undefined without values', async () => expect(await doTest([], 500)).toBeUndefined())
  it('is the highest value of the period', async () => expect(await doTest([[100, 3], [200, 7], [300, 5]], 400)).toBe(7))
  it('keeps the values of the previous period', async () => expect(await doTest([[900, 7], [1100, 5]], 1900)).toBe(7))
  it('forgets values after two periods', async () => expect(await doTest([[900, 7], [1100, 5]], 2100)).toBe(5))
  it('forgets all values after a long time without any', async () => expect(await doTest([[900, 7]], 5000)).toBeUndefined())
})
