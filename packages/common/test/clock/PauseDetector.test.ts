import { PauseDetector, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'

interface DetectorResult {
  readonly pauses: number[]
  readonly recovering: boolean[]
}

async function doTest (pauseMs: number, delayMs: number): Promise<DetectorResult> {
  const clock = VirtualClock.create()
  const pauses: number[] = []
  const detector = PauseDetector.create({ clock, onPause: lengthMs => pauses.push(lengthMs) })
  detector.run()
  await clock.advance(1000)
  clock.jump(pauseMs)
  const first = detector.isRecovering()
  await clock.advance(delayMs)
  const later = detector.isRecovering()
  detector.stop()
  await clock.advance(1000)
  return { pauses, recovering: [first, later] }
}

describe('PauseDetector', () => {
  it('detects a pause before the next timer fires', async () => {
    expect(await doTest(60_000, 100)).toEqual({ pauses: [60_000], recovering: [true, true] })
  })

  it('stops recovering a short time after a pause', async () => {
    expect(await doTest(60_000, 600)).toEqual({ pauses: [60_000], recovering: [true, false] })
  })

  it('does not report a short delay as a pause', async () => {
    expect(await doTest(1200, 100)).toEqual({ pauses: [], recovering: [false, false] })
  })

  it('notifies listeners of a pause before input is handled that arrived in the meantime', async () => {
    const clock = VirtualClock.create()
    const calls: string[] = []
    const detector = PauseDetector.create({ clock, onPause: () => calls.push('option') })
    detector.addListener(() => calls.push('listener'))
    clock.jump(5000)
    expect([detector.isRecovering(), calls]).toEqual([true, ['option', 'listener']])
  })

  it('tells by how much the process runs behind its timers', async () => {
    const clock = VirtualClock.create()
    const detector = PauseDetector.create({ clock, onPause: () => undefined })
    detector.run()
    await clock.advance(1000)
    const before = detector.getDelayMs()
    clock.jump(900)
    const during = detector.getDelayMs()
    await clock.advance(100)
    const after = detector.getDelayMs()
    await clock.advance(600)
    const later = detector.getDelayMs()
    detector.stop()
    await clock.advance(1000)
    expect({ before, during, after, later }).toMatchInlineSnapshot(`
      {
        "after": 650,
        "before": 0,
        "during": 650,
        "later": 0,
      }
    `)
  })

  it('knows no delay before it reads the clock', () => {
    const clock = VirtualClock.create()
    const detector = PauseDetector.create({ clock, onPause: () => undefined })
    clock.jump(1000)
    expect(detector.getDelayMs()).toBe(0)
  })
})
