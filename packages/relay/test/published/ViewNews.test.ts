import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { ViewNews } from '../../src/published/ViewNews.js'

/** Hears news, each after some time, and reads the age of the view and the calm of the store some time later. */
function doTest (laterMs: number, ...news: Array<readonly [afterMs: number, ageMs: number, calmMs: number]>): { ageMs: number, calmMs: number } {
  const clock = VirtualClock.create()
  clock.jump(100_000)
  const view = ViewNews.create(clock)
  for (const [afterMs, ageMs, calmMs] of news) {
    clock.jump(afterMs)
    view.observeAnswer(ageMs, calmMs)
  }
  clock.jump(laterMs)
  return { ageMs: view.getAgeMs(), calmMs: view.getCalmMs() }
}

describe('ViewNews', () => {
  it('knows nothing at first', () => expect(doTest(0)).toEqual({ ageMs: Infinity, calmMs: Infinity }))
  it('adds the time since it was told', () => expect(doTest(100, [0, 50, 900])).toEqual({ ageMs: 150, calmMs: 1000 }))
  it('keeps the latest answer of any peer', () => expect(doTest(0, [0, 50, 900], [10, 400, 900]).ageMs).toBe(60))
  it('keeps the latest trouble of any peer', () => expect(doTest(0, [0, 50, 900], [10, 50, 60_000]).calmMs).toBe(910))
})
