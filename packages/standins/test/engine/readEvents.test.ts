import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { readEvents } from '../../src/index.js'
import { createSpec, createTestEngine, formatEvent } from './support.js'

describe('readEvents', () => {
  const clock = VirtualClock.create()

  async function collect (events: AsyncIterable<Parameters<typeof formatEvent>[0]>): Promise<string[]> {
    const texts: string[] = []
    for await (const event of events) texts.push(formatEvent(event))
    return texts
  }

  it('yields the events until the end', async () => {
    const engine = createTestEngine(clock)
    engine.startGeneration('g', createSpec())
    const texts = collect(readEvents(engine, 'g', 1))
    await clock.advance(1000)
    expect(await texts).toEqual(['1=g:1', '2=g:2', 'stop 3'])
  })

  it('yields no events for an unknown generation', async () => {
    expect(await collect(readEvents(createTestEngine(clock), 'g', 0))).toEqual([])
  })

  it('returns when it is aborted', async () => {
    const engine = createTestEngine(clock)
    const controller = new AbortController()
    engine.startGeneration('g', createSpec())
    const texts = collect(readEvents(engine, 'g', 0, controller.signal))
    await clock.advance(25)
    controller.abort()
    await clock.advance(1000)
    expect(await texts).toEqual(['0=g:0'])
  })
})
