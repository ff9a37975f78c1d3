import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type EngineCore, type EngineOptions } from '../../src/index.js'
import { createSpec, createTestEngine, startGeneration as start } from './support.js'

describe('EngineCore', () => {
  const clock = VirtualClock.create()

  function createEngine (options: Partial<EngineOptions> = {}): EngineCore {
    return createTestEngine(clock, options)
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

    it('ends at the maximum length', async () => {
      const events = start(createEngine(), 'g', { maxTokens: 1 })
      await clock.advance(1000)
      expect(events).toMatchInlineSnapshot(`
        [
          "0=g:0",
          "length 1",
        ]
      `)
    })

    it('is started only once per id', async () => {
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

    it('can be read again from an offset', async () => {
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

    it('sends no tokens before the offset of the subscriber', async () => {
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

    it('is deleted after the retention time', async () => {
      const engine = createEngine({ retentionMs: 5000 })
      start(engine, 'g')
      await clock.advance(6000)
      expect(engine.listGenerations()).toEqual([])
    })

    it('sends heartbeats while no tokens are produced', async () => {
      const engine = createEngine({ heartbeatMs: 100 })
      const events = start(engine, 'g')
      engine.setSlowdownFactor(10)
      await clock.advance(210)
      expect(events).toMatchInlineSnapshot(`
        [
          "heartbeat",
          "0=g:0",
        ]
      `)
    })

    it('is rejected if its prompt exceeds the capacity', () => {
      const engine = createEngine({ capacityTokens: 20 })
      expect(engine.startGeneration('g', createSpec())).toMatchObject({ error: { status: 413 } })
    })
  })

  describe('exhausted cache memory', () => {
    const options = { capacityTokens: 60, computeOutputTokens: () => 15, reserveFraction: 0 }

    it('preempts the latest generation, which then continues without missing tokens', async () => {
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

    it('preempts the generation of the lower priority', async () => {
      const engine = createEngine(options)
      const first = start(engine, 'a', { priority: 1 })
      const second = start(engine, 'b', { priority: 2 })
      await clock.advance(5000)
      expect([first.includes('preempted'), second.includes('preempted')]).toEqual([true, false])
    })

    it('fails a generation that exceeds the capacity even when it runs alone', async () => {
      const events = start(createEngine({ ...options, capacityTokens: 25 }), 'a')
      await clock.advance(5000)
      expect(events.at(-1)).toMatchInlineSnapshot('"failed 5"')
    })
  })

  describe('admission', () => {
    it('admits generations in order of priority', async () => {
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

  describe('prefix cache', () => {
    const PROMPT = { prefix: 'p', prompt: 'x'.repeat(1000) }
    const options = { prefillTokenMs: 1, computePrefixTokens: () => 900, stepBaseMs: 0, stepSequenceMs: 0 }

    async function measureFirstToken (engine: EngineCore, id: string): Promise<number> {
      const startMs = clock.nowMs()
      let firstMs = 0
      engine.startGeneration(id, createSpec(PROMPT))
      engine.subscribe(id, 0, event => { if (event.type === 'tokens' && event.offset === 0) firstMs = clock.nowMs() - startMs })
      await clock.advance(5000)
      return firstMs
    }

    it('reuses a cached prefix for a later prompt', async () => {
      const engine = createEngine(options)
      expect(await measureFirstToken(engine, 'a')).toBe(1000)
      expect(await measureFirstToken(engine, 'b')).toBe(100)
    })

    it('counts the memory of a shared prefix once', async () => {
      const engine = createEngine({ ...options, computeOutputTokens: () => 50, prefillTokenMs: 0, stepBaseMs: 20 })
      start(engine, 'a', PROMPT)
      start(engine, 'b', PROMPT)
      await clock.advance(1)
      expect(engine.getUsedTokens()).toBe(900 + 100 + 100)
    })

    it('evicts the least recently used prefix and reports events after a delay', async () => {
      const engine = createEngine({ prefixCacheTokens: 20, eventLagMs: 5000 })
      for (const prefix of ['p', 'q', 'p', 'r']) {
        start(engine, `${prefix}${clock.nowMs()}`, { prefix })
        await clock.advance(1000)
      }
      const early = engine.listCacheEvents(0).length
      await clock.advance(5000)
      expect(early).toBe(0)
      expect(engine.listCacheEvents(1).map(({ sequence, event, prefix }) => `${sequence} ${event} ${prefix}`)).toMatchInlineSnapshot(`
        [
          "2 stored q",
          "3 stored r",
          "4 evicted q",
        ]
      `)
    })

    it('drops some events, which leaves gaps in the sequence numbers', async () => {
      const engine = createEngine({ prefixCacheTokens: 10, eventLossRate: 0.5, maxSequences: 1 })
      for (const prefix of ['p', 'q', 'r', 's', 't']) start(engine, prefix, { prefix })
      await clock.advance(5000)
      expect(engine.listCacheEvents(0).map(({ sequence }) => sequence)).toMatchInlineSnapshot(`
        [
          1,
          2,
          4,
          5,
          7,
          9,
        ]
      `)
    })
  })

  describe('published load', () => {
    it('is delayed', async () => {
      const engine = createEngine({ loadLagMs: 500, computeOutputTokens: () => 100 })
      start(engine, 'a')
      await clock.advance(400)
      const early = engine.getState()
      await clock.advance(200)
      const late = engine.getState()
      expect([early.running, late.running, late.loadAgeMs]).toEqual([0, 1, 500])
    })

    it('eventually shows an idle engine', async () => {
      const engine = createEngine({ loadLagMs: 500 })
      start(engine, 'a')
      await clock.advance(1000)
      expect(engine.getState()).toMatchObject({ running: 0, waiting: 0, usedTokens: 0 })
    })
  })

  describe('faults', () => {
    it('sends no tokens or heartbeats during a stall, then continues', async () => {
      const engine = createEngine({ heartbeatMs: 100 })
      const events = start(engine, 'a')
      engine.stall(10_000)
      await clock.advance(9999)
      expect(events).toEqual([])
      await clock.advance(1000)
      expect(events.at(-1)).toBe('stop 3')
    })

    it('sends no events after a kill', async () => {
      const engine = createEngine()
      const events = start(engine, 'a')
      engine.kill()
      await clock.advance(1000)
      expect(events).toEqual([])
      expect(engine.startGeneration('b', createSpec())).toMatchObject({ error: { status: 503 } })
    })

    it('can be killed by a subscriber', async () => {
      const engineClock = VirtualClock.create()
      const engine = createTestEngine(engineClock, { heartbeatMs: 1 })
      const receivedTypes: string[] = []
      engine.startGeneration('a', createSpec())
      engine.subscribe('a', 0, event => {
        receivedTypes.push(event.type)
        engine.kill()
      })
      await engineClock.advance(1000)
      expect(receivedTypes).toEqual(['heartbeat'])
      expect(engine.getCounts().tokens).toBe(0)
    })

    it('counts new generations that are requested while leaving', async () => {
      const engine = createEngine()
      engine.setLeaving()
      await clock.advance(3000)
      start(engine, 'a')
      await clock.advance(1000)
      expect(engine.getCounts()).toMatchObject({ receivedAfterLeaving: 1, lastArrivalAfterLeavingMs: 3000, ended: 1 })
    })

    it('can reject new generations while leaving, but still attaches to existing ones', async () => {
      const engine = createEngine({ shouldRejectWhenLeaving: true })
      start(engine, 'a')
      engine.setLeaving()
      expect(engine.startGeneration('b', createSpec())).toMatchObject({ error: { error: 'leaving' } })
      expect(engine.startGeneration('a', createSpec())).toMatchObject({ value: 'attached' })
    })
  })
})
