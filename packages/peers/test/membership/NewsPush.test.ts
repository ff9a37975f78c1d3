import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { NewsPush } from '../../src/membership/NewsPush.js'

/** Schedules pushes at certain times and returns those at which they happen, in milliseconds. */
async function doTest (...scheduledAtMs: number[]): Promise<number[]> {
  const clock = VirtualClock.create()
  const pushedAtMs: number[] = []
  const push = NewsPush.create({ clock, push: () => pushedAtMs.push(clock.nowMs()) })
  for (const atMs of scheduledAtMs) clock.startTimer(atMs, () => push.schedulePush())
  await clock.advance(1000)
  return pushedAtMs
}

describe('NewsPush', () => {
  it('pushes at once, and at most every 100 ms', async () => {
    expect([await doTest(), await doTest(5, 5, 20, 104, 110, 500)]).toEqual([[], [5, 105, 205, 500]])
  })
})
