import { VirtualClock } from '@fescuespoke/common'
import { type EngineEvent } from '@fescuespoke/schema'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { type EngineCore } from '../../src/index.js'
import { createSpec, createTestEngine } from './support.js'

describe('EngineCore with random requests', () => {
  const arrivals = fc.array(fc.record({
    waitMs: fc.integer({ min: 0, max: 100 }),
    promptTokens: fc.integer({ min: 1, max: 60 }),
    outputTokens: fc.integer({ min: 1, max: 60 }),
    priority: fc.integer({ min: 0, max: 2 }),
    prefix: fc.option(fc.constantFrom('p', 'q', 'r'), { nil: undefined }),
    cancelAfterMs: fc.option(fc.integer({ min: 0, max: 300 }), { nil: undefined })
  }), { minLength: 1, maxLength: 12 })

  function readTokens (events: readonly EngineEvent[]): string[] {
    return events.flatMap(event => event.type === 'tokens' ? event.tokens : [])
  }

  function checkEvents (id: string, events: readonly EngineEvent[], engine: EngineCore): void {
    const tokens = readTokens(events)
    expect(tokens).toEqual(tokens.map((_, offset) => `${id}:${offset}`))
    expect(events.filter(event => event.type === 'end')).toEqual([events.at(-1)])
    expect(events.at(-1)).toMatchObject({ tokens: tokens.length })
    const replayedEvents: EngineEvent[] = []
    engine.subscribe(id, 0, event => replayedEvents.push(event))
    expect(readTokens(replayedEvents)).toEqual(tokens)
  }

  it('sends each token once and in order, stays within its capacity and frees all memory', async () => {
    let preemptions = 0
    await fc.assert(fc.asyncProperty(arrivals, async requests => {
      const clock = VirtualClock.create()
      const engine = createTestEngine(clock, {
        capacityTokens: 130,
        maxSequences: 4,
        prefixCacheTokens: 30,
        prefillStepTokens: 50,
        computePromptTokens: spec => spec.prompt.length,
        computeOutputTokens: spec => Number(spec.version)
      })
      const events = requests.map((): EngineEvent[] => [])
      for (const [index, { waitMs, promptTokens, outputTokens, priority, prefix, cancelAfterMs }] of requests.entries()) {
        await clock.advance(waitMs)
        engine.startGeneration(`g${index}`, createSpec({ prompt: 'x'.repeat(promptTokens), version: String(outputTokens), priority, prefix }))
        engine.subscribe(`g${index}`, 0, event => {
          events[index]?.push(event)
          expect(engine.getUsedTokens()).toBeLessThanOrEqual(130)
        })
        if (cancelAfterMs !== undefined) clock.startTimer(cancelAfterMs, () => engine.cancel(`g${index}`))
      }
      await clock.advance(50_000)
      requests.forEach((_, index) => checkEvents(`g${index}`, events[index] ?? [], engine))
      expect(engine.getUsedTokens()).toBe(0)
      preemptions += engine.getCounts().preemptions
    }), { numRuns: 60, seed: 7 })
    expect(preemptions).toBeGreaterThan(0)
  })
})
