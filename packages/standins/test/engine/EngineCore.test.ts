import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { type EngineEvent, type GenerationSpec } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { EngineCore, type EngineOptions } from '../../src/index.js'

describe('EngineCore', () => {
  const clock = VirtualClock.create()

  function createEngine (options: Partial<EngineOptions> = {}): EngineCore {
    return EngineCore.create({
      clock,
      random: SeededRandom.create(1),
      targetName: 'e1',
      computePromptTokens: spec => spec.prompt.length,
      computeOutputTokens: () => 3,
      computePrefixTokens: () => 10,
      loadLagMs: 0,
      ...options
    })
  }

  function createSpec (spec: Partial<GenerationSpec> = {}): GenerationSpec {
    return { model: 'm', prompt: 'x'.repeat(20), maxTokens: 100, priority: 0, ...spec }
  }

  function start (engine: EngineCore, id: string, spec: Partial<GenerationSpec> = {}, offset = 0): string[] {
    const events: string[] = []
    engine.startGeneration(id, createSpec(spec))
    engine.subscribe(id, offset, event => events.push(formatEvent(event)))
    return events
  }

  function formatEvent (event: EngineEvent): string {
    if (event.type === 'tokens') return `${event.offset}=${event.tokens.join(',')}`
    return event.type === 'end' ? `${event.reason} ${event.tokens}` : event.type
  }

  describe('a generation', () => {
    it('produces its tokens in order and stops', async () => {
      const events = start(createEngine(), 'g')
      await clock.advance(1000)
      expect(events).toMatchInlineSnapshot(`
        [
          "0=g:0",
          "1=g:1",
          "2=g:2",
          "stop 3",
        ]
      `)
    })

    it('ends at the greatest length', async () => {
      const events = start(createEngine(), 'g', { maxTokens: 1 })
      await clock.advance(1000)
      expect(events).toMatchInlineSnapshot(`
        [
          "0=g:0",
          "length 1",
        ]
      `)
    })

    it('is started once for an id', async () => {
      const engine = createEngine()
      start(engine, 'g')
      const second = start(engine, 'g')
      await clock.advance(1000)
      expect(engine.getCounts().started).toBe(1)
      expect(second).toMatchInlineSnapshot(`
        [
          "0=g:0",
          "1=g:1",
          "2=g:2",
          "stop 3",
        ]
      `)
    })

    it('is read again from an offset', async () => {
      const engine = createEngine()
      start(engine, 'g')
      await clock.advance(1000)
      expect(start(engine, 'g', {}, 1)).toMatchInlineSnapshot(`
        [
          "1=g:1,g:2",
          "stop 3",
        ]
      `)
    })

    it('sends nothing before the offset that the reader has', async () => {
      const events = start(createEngine(), 'g', {}, 2)
      await clock.advance(1000)
      expect(events).toMatchInlineSnapshot(`
        [
          "2=g:2",
          "stop 3",
        ]
      `)
    })

    it('can be cancelled', async () => {
      const engine = createEngine({ computeOutputTokens: () => 50 })
      const events = start(engine, 'g')
      await clock.advance(50)
      engine.cancel('g')
      await clock.advance(1000)
      expect(events).toMatchInlineSnapshot(`
        [
          "0=g:0",
          "1=g:1",
          "cancelled 2",
        ]
      `)
      expect(engine.getUsedTokens()).toBe(0)
    })

    it('is forgotten after the retention time', async () => {
      const engine = createEngine({ retentionMs: 5000 })
      start(engine, 'g')
      await clock.advance(6000)
      expect(engine.listGenerations()).toEqual([])
    })

    it('sends heartbeats while it waits', async () => {
      const engine = createEngine({ heartbeatMs: 100 })
      const events = start(engine, 'g')
      engine.setSlow(10)
      await clock.advance(210)
      expect(events).toMatchInlineSnapshot(`
        [
          "heartbeat",
          "0=g:0",
        ]
      `)
    })

    it('is refused when its prompt cannot fit', () => {
      const engine = createEngine({ capacityTokens: 20 })
      expect(engine.startGeneration('g', createSpec())).toMatchObject({ error: { status: 413 } })
    })
  })

  describe('full memory', () => {
    const options = { capacityTokens: 60, computeOutputTokens: () => 15, reserveShare: 0 }

    it('preempts the youngest and produces its tokens without a gap', async () => {
      const engine = createEngine(options)
      const first = start(engine, 'a')
      const second = start(engine, 'b')
      await clock.advance(5000)
      expect(first).not.toContain('preempted')
      expect(second).toMatchInlineSnapshot(`
        [
          "0=b:0",
          "1=b:1",
          "2=b:2",
          "3=b:3",
          "4=b:4",
          "5=b:5",
          "6=b:6",
          "7=b:7",
          "8=b:8",
          "9=b:9",
          "preempted",
          "10=b:10",
          "11=b:11",
          "12=b:12",
          "13=b:13",
          "14=b:14",
          "stop 15",
        ]
      `)
      expect(engine.getCounts()).toMatchInlineSnapshot(`
        {
          "ended": 2,
          "lastArrivalAfterLeavingMs": 0,
          "preemptions": 1,
          "receivedAfterLeaving": 0,
          "recomputedTokens": 30,
          "started": 2,
          "steps": 20,
          "tokens": 30,
        }
      `)
    })

    it('preempts the lower priority', async () => {
      const engine = createEngine(options)
      const first = start(engine, 'a', { priority: 1 })
      const second = start(engine, 'b', { priority: 2 })
      await clock.advance(5000)
      expect([first.includes('preempted'), second.includes('preempted')]).toEqual([true, false])
    })

    it('fails a generation that does not fit alone', async () => {
      const events = start(createEngine({ ...options, capacityTokens: 25 }), 'a')
      await clock.advance(5000)
      expect(events.at(-1)).toMatchInlineSnapshot('"failed 5"')
    })
  })

  describe('admission', () => {
    it('takes the higher priority first', async () => {
      const engine = createEngine({ maxSequences: 1 })
      const ended: string[] = []
      for (const [id, priority] of [['low', 0], ['high', 5], ['middle', 2]] as const) {
        engine.startGeneration(id, createSpec({ priority }))
        engine.subscribe(id, 0, event => { if (event.type === 'end') ended.push(id) })
      }
      await clock.advance(1000)
      expect(ended).toEqual(['high', 'middle', 'low'])
    })
  })
})
