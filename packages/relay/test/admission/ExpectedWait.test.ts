import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { ExpectedWait } from '../../src/admission/ExpectedWait.js'

const WORK = { pool: 'p', priority: 1, cost: 100 }

/** Places work of 100 tokens every 100 ms while requests wait, for a duration. */
async function doTest (durationMs: number, placedCost = 100): Promise<{ clock: VirtualClock, wait: ExpectedWait }> {
  const clock = VirtualClock.create()
  const wait = ExpectedWait.create(clock)
  wait.observeWork({ ...WORK, cost: 0 }, true)
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
    await clock.advance(100)
    wait.observeWork({ ...WORK, cost: placedCost }, true)
  }
  return { clock, wait }
}

describe('ExpectedWait', () => {
  it('is the work ahead at the rate at which capacity opened while requests waited', async () => {
    const { wait } = await doTest(60_000)
    expect(Math.round(wait.estimateMs(WORK, 5000) / 100)).toBe(49)
  })

  it('is 0 without data, so that requests are admitted', async () => {
    const { wait } = await doTest(900)
    expect([wait.estimateMs(WORK, 5000), wait.estimateMs({ ...WORK, priority: 2 }, 5000), wait.estimateMs({ ...WORK, pool: 'q' }, 5000)]).toEqual([0, 0, 0])
  })

  it('does not take a backlog that has just begun for a standstill', async () => {
    const { wait } = await doTest(1500, 0)
    expect(Math.round(wait.estimateMs(WORK, 100))).toBeLessThanOrEqual(1500)
  })

  it('does not count work that was placed in vain', async () => {
    const { wait } = await doTest(5000, 0)
    const beforeMs = wait.estimateMs(WORK, 100)
    wait.observeWork({ ...WORK, cost: 300 }, true)
    wait.observeWork({ ...WORK, cost: -300 }, true)
    expect(wait.estimateMs(WORK, 100)).toBe(beforeMs)
  })

  it('forgets the rate of an earlier backlog after half a minute', async () => {
    const { clock, wait } = await doTest(5000)
    wait.observeWork({ ...WORK, cost: 0 }, false)
    await clock.advance(30_001)
    wait.observeWork({ ...WORK, cost: 0 }, true)
    expect(wait.estimateMs(WORK, 5000)).toBe(0)
  })

  it('forgets all rates after a pause', async () => {
    const { wait } = await doTest(5000)
    wait.clear()
    expect(wait.estimateMs(WORK, 5000)).toBe(0)
  })
})
