import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { StreamGaps } from '../../src/speeds/StreamGaps.js'
import { type ObservedRun } from '../../src/speeds/TargetRuns.js'

interface Step {
  /** Time until the events arrive, in milliseconds. */
  readonly gapMs: number
  readonly events?: number
  readonly running?: number
  readonly pendingPrefillTokens?: number
  /** Time for which writing to the caller takes, in milliseconds. */
  readonly writeMs?: number
}

/** Records events and returns the last observation. */
async function doTest (steps: readonly Step[]): Promise<Pick<ObservedRun, 'typicalMs' | 'excessMs' | 'running' | 'weight'> | undefined> {
  const clock = VirtualClock.create()
  let load = { running: 1, tokens: 0, pendingPrefillTokens: 0 }
  let last: Pick<ObservedRun, 'typicalMs' | 'excessMs' | 'running' | 'weight'> | undefined
  const gaps = StreamGaps.create({ clock, getLoad: () => load, onObserved: observed => { last = observed } })
  for (const { gapMs, events = 1, running = 1, pendingPrefillTokens = 0, writeMs = 0 } of steps) {
    await clock.advance(gapMs)
    load = { running, tokens: 0, pendingPrefillTokens }
    gaps.recordArrival(events)
    await clock.advance(writeMs)
    gaps.recordWritten()
  }
  return last
}

const repeat = (count: number, step: Step): Step[] => Array.from({ length: count }, () => step)

describe('StreamGaps', () => {
  it('observes the gap between events and the load of the target', async () => {
    expect(await doTest(repeat(40, { gapMs: 30, running: 5 }))).toEqual({ typicalMs: 30, excessMs: 0, running: 5, weight: 2 })
  })

  it('observes nothing in a short stream, whose few gaps say little', async () => expect(await doTest(repeat(12, { gapMs: 30 }))).toBeUndefined())

  it('does not take the wait behind prompts of others for slowness', async () => {
    const disturbed = repeat(12, { gapMs: 90, pendingPrefillTokens: 3000 })
    expect(await doTest([...repeat(20, { gapMs: 30 }), ...disturbed, ...repeat(24, { gapMs: 30 })])).toMatchObject({ typicalMs: 30 })
  })

  it('states how much longer gaps are with prompts of others', async () => {
    const { excessMs = 0 } = await doTest([...repeat(21, { gapMs: 30 }), ...repeat(8, { gapMs: 90, pendingPrefillTokens: 3000 }), ...repeat(20, { gapMs: 30 })]) ?? {}
    expect(Math.round(excessMs)).toBe(10)
  })

  it('does not take a caller that reads slowly for a slow engine', async () => {
    expect(await doTest([...repeat(30, { gapMs: 30 }), ...repeat(24, { gapMs: 30, writeMs: 60 })])).toMatchObject({ typicalMs: 30 })
  })

  it('averages events that arrive at the same moment', async () => {
    const bursts = Array.from({ length: 20 }, () => [{ gapMs: 60 }, { gapMs: 0 }]).flat()
    expect(await doTest(bursts)).toMatchObject({ typicalMs: 30 })
  })

  it('averages events that arrive together', async () => expect(await doTest(repeat(20, { gapMs: 120, events: 4 }))).toMatchObject({ typicalMs: 30 }))
})
