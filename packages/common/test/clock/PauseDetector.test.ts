import { PauseDetector, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'

interface Observed {
  readonly pauses: number[]
  readonly recovering: boolean[]
}

async function doTest (pauseMs: number, laterMs: number): Promise<Observed> {
  const clock = VirtualClock.create()
  const pauses: number[] = []
  const detector = PauseDetector.create({ clock, onPause: lengthMs => pauses.push(lengthMs) })
  detector.run()
  await clock.advance(1000)
  clock.jump(pauseMs)
  const first = detector.isRecovering()
  await clock.advance(laterMs)
  const later = detector.isRecovering()
  detector.stop()
  await clock.advance(1000)
  return { pauses, recovering: [first, later] }
}

describe('PauseDetector', () => {
  it('notices a pause before any timer has run again', async () => {
    expect(await doTest(60_000, 100)).toEqual({ pauses: [60_000], recovering: [true, true] })
  })

  it('recovers a moment later', async () => {
    expect(await doTest(60_000, 600)).toEqual({ pauses: [60_000], recovering: [true, false] })
  })

  it('does not take a short delay for a pause', async () => {
    expect(await doTest(1200, 100)).toEqual({ pauses: [], recovering: [false, false] })
  })
})
