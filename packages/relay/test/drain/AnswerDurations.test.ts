import { describe, expect, it } from 'vitest'
import { AnswerDurations, type EndedGeneration } from '../../src/drain/AnswerDurations.js'

const SERVICE = 's'

/** Records generations, and returns what the durations tell about one with a stated maximum of 1,000 tokens and an estimate. */
function doTest (generations: ReadonlyArray<Partial<EndedGeneration>>, expectedOutputTokens?: number): string {
  const durations = AnswerDurations.create()
  for (const generation of generations) durations.recordGeneration(SERVICE, { size: undefined, tokens: 100, firstEventMs: 200, durationMs: 1000, ...generation })
  const likely = durations.estimateLikelyOutput(SERVICE, { promptTokens: 10, maxOutputTokens: 1000, expectedOutputTokens })
  return `longest ${durations.findSizedGenerationMs(SERVICE, { outputTokens: 100, share: 0.99, speed: 1 }) ?? 'unknown'} ms, likely ${likely} tokens`
}

const createGenerations = (count: number, ratio: (index: number) => number): EndedGeneration[] =>
  Array.from({ length: count }, (_, index) => ({ size: { promptTokens: 10, maxOutputTokens: 1000, expectedOutputTokens: 100 / ratio(index) }, tokens: 100, firstEventMs: 200, durationMs: 1000 }))

describe('AnswerDurations', () => {
  it('knows no longest duration before a generation has ended', () => expect(doTest([])).toBe('longest unknown ms, likely 1000 tokens'))
  it('takes four times the estimate as likely while little is known', () => expect(doTest([], 50)).toBe('longest unknown ms, likely 200 tokens'))
  it('takes the longest time to an event and the slowest pace', () => expect(doTest([{ firstEventMs: 400 }, { durationMs: 3000 }, {}])).toBe('longest 5100 ms, likely 1000 tokens'))
  it('does not derive a pace from short generations', () => expect(doTest([{}, { tokens: 4, durationMs: 3000 }])).toBe('longest 1800 ms, likely 1000 tokens'))
  it('takes what nine of ten generations do not exceed as likely', () => expect(doTest(createGenerations(40, index => index % 20 === 0 ? 50 : 2), 50)).toBe('longest 1200 ms, likely 100 tokens'))
  it('takes what exceeds estimates in two of ten generations into account', () => expect(doTest(createGenerations(40, index => index % 5 === 0 ? 6 : 2), 10)).toBe('longest 1200 ms, likely 60 tokens'))
  it('takes no more of the stated maximum as likely than others used', () => expect(doTest(createGenerations(40, () => 50), 500)).toBe('longest 1200 ms, likely 100 tokens'))
  it('does not let one slow generation of many decide', () => expect(doTest([...createGenerations(199, () => 2), { firstEventMs: 5000, durationMs: 9000 }], 50)).toBe('longest 1200 ms, likely 100 tokens'))
  it('relates times to engines of ordinary speed', () => expect(doTest(Array.from({ length: 40 }, () => ({ firstEventMs: 400, durationMs: 2000, speed: 0.5 })))).toBe('longest 1200 ms, likely 1000 tokens'))

  it('knows from short generations for how long nearly all pause, whatever the speed of their engines', () => {
    const durations = AnswerDurations.create()
    const before = durations.findPauseMs(SERVICE, 0.99)
    for (let index = 0; index < 100; index++) durations.recordGeneration(SERVICE, { size: undefined, tokens: index === 0 ? 100 : 8, firstEventMs: 200, durationMs: index % 20 === 0 ? 3000 : 60, speed: 0.5 })
    expect([before, durations.findPauseMs(SERVICE, 0.5), durations.findPauseMs(SERVICE, 0.99)]).toEqual([0, 60, 3000])
  })

  it('knows the calls of each kind, and takes more than the longest of a few', () => {
    const durations = AnswerDurations.create()
    durations.recordCall(SERVICE, 'once', 1000)
    for (let index = 0; index < 100; index++) durations.recordCall(SERVICE, 'idempotent', index * 10)
    expect([durations.findCallMs(SERVICE, 'once', 0.5), durations.findCallMs(SERVICE, 'idempotent', 0.5), durations.findCallMs(SERVICE, 'idempotent', 0.98), durations.findCallMs('other', 'once', 0.5)]).toEqual([1500, 500, 980, undefined])
  })
})
