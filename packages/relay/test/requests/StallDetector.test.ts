import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { StallDetector } from '../../src/requests/StallDetector.js'

type Action = 'recordProgress' | 'suspend' | 'resume' | 'stop' | 'pauseProcess'

/** Time for which the process stands still, in milliseconds. */
const PROCESS_PAUSE_MS = 3000

/** Performs actions at clock readings; returns the readings within ten seconds at which a stall of one second was detected. */
async function doTest (...actions: ReadonlyArray<readonly [number, Action]>): Promise<number[]> {
  const clock = VirtualClock.create()
  const stalls: number[] = []
  const detector = StallDetector.start({ clock, stallTimeoutMs: 1000, onStall: () => { stalls.push(clock.nowMs()) } })
  for (const [atMs, action] of actions) clock.startTimer(atMs, () => action === 'pauseProcess' ? clock.jump(PROCESS_PAUSE_MS) : detector[action]())
  await clock.advance(10_000)
  detector.stop()
  return stalls
}

describe('StallDetector', () => {
  it('detects a stall again after each timeout', async () => {
    expect(await doTest([4100, 'stop'])).toEqual([1000, 2000, 3000, 4000])
  })

  it('counts from the last progress', async () => {
    expect(await doTest([600, 'recordProgress'], [1200, 'recordProgress'], [2600, 'stop'])).toEqual([2250])
  })

  it('leaves out the time for which it is suspended, but not the time before', async () => {
    expect(await doTest([700, 'suspend'], [5700, 'resume'], [6600, 'stop'])).toEqual([6000])
  })

  it('detects nothing while it is suspended or stopped', async () => {
    expect(await doTest([700, 'suspend'])).toEqual([])
    expect(await doTest([700, 'stop'])).toEqual([])
  })

  it('leaves out every suspension', async () => {
    expect(await doTest([100, 'suspend'], [2100, 'resume'], [2200, 'suspend'], [4200, 'resume'], [5100, 'stop'])).toEqual([5000])
  })

  it('leaves out the time for which the process stands still, but not the time before', async () => {
    expect(await doTest([700, 'pauseProcess'], [4200, 'stop'])).toEqual([3950])
  })

  it('leaves out a pause of the process only once when it is suspended meanwhile', async () => {
    expect(await doTest([700, 'suspend'], [701, 'pauseProcess'], [5700, 'resume'], [6600, 'stop'])).toEqual([6201])
  })
})
