import { BufferBudget } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { EventSplitter } from '../../src/requests/EventSplitter.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'

const MAX_BYTES = 4_000_000

/** Bytes of an event of which the end does not come, and time between two parts, in milliseconds. */
const EVENT_BYTES = 500_000
const PART_BYTES = 50_000
const PART_INTERVAL_MS = 10

const EVENT_PARTS = Array.from({ length: EVENT_BYTES / PART_BYTES }, (_, index) => [index === 0 ? 'data: ' : '', 'x'.repeat(PART_BYTES), PART_INTERVAL_MS]).flat()

const SOUND_STEPS = ['id: 1\ndata: a\n\n', 200, 'id: 2\ndata: b\n\n', 'END']

/** Starts a stream at a target of its own, which repeats what it sends at each attempt. */
function startStream (dependencies: TestDependencies, name: string, steps: Array<string | number>): FakeSink {
  const service = { ...ENGINES, name }
  dependencies.table.updateTarget(createTarget(name, { service: name, slots: 1000 }))
  dependencies.client.scripts.set(name, [{ steps: steps.filter(step => step !== '') }])
  const { context, sink } = createContext(createRoute({ kind: 'stream', maxAttempts: 1, objectiveMs: 100_000, timeoutMs: 100_000 }), service, { id: name })
  runRelayedStream(dependencies, context)
  return sink
}

describe('events without an end', () => {
  it('do not fill the memory when hundreds of streams hold one each, and sound streams go on', async () => {
    const bufferBudget = BufferBudget.create({ maxBytes: MAX_BYTES })
    const dependencies = createTestDependencies({ bufferBudget })
    const sound = startStream(dependencies, 'sound', SOUND_STEPS)
    const endless = Array.from({ length: 200 }, (_, index) => startStream(dependencies, `endless-${index}`, EVENT_PARTS))
    await dependencies.clock.advance(5000)
    const open = endless.filter(sink => sink.endState === undefined)
    expect(open.length * EVENT_BYTES).toBeLessThanOrEqual(MAX_BYTES)
    expect(new Set(endless.filter(sink => sink.endState !== undefined).map(sink => sink.describe()))).toEqual(new Set(['502 lost']))
    expect(sound.describe()).toBe('200 "id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n" complete')
    expect(bufferBudget.getUsedBytes()).toBeLessThanOrEqual(MAX_BYTES)
  })

  it('do not fill the memory when the events before them were sound', async () => {
    const dependencies = createTestDependencies({ bufferBudget: BufferBudget.create({ maxBytes: MAX_BYTES }) })
    const endless = Array.from({ length: 50 }, (_, index) => startStream(dependencies, `endless-${index}`, ['id: 1\ndata: a\n\n', ...EVENT_PARTS]))
    await dependencies.clock.advance(5000)
    expect(endless.filter(sink => sink.endState === undefined).length * EVENT_BYTES).toBeLessThanOrEqual(MAX_BYTES)
    expect(new Set(endless.filter(sink => sink.endState !== undefined).map(sink => sink.describe()))).toEqual(new Set(['200 "id: 1\\ndata: a\\n\\n" brokenOff']))
  })

  it('are not counted any more once their streams have ended', async () => {
    const bufferBudget = BufferBudget.create({ maxBytes: MAX_BYTES })
    const dependencies = createTestDependencies({ bufferBudget })
    startStream(dependencies, 'cut', ['data: a', 'END'])
    startStream(dependencies, 'sound', SOUND_STEPS)
    await dependencies.clock.advance(5000)
    expect(bufferBudget.getUsedBytes()).toBe(0)
  })

  it('do not keep the bytes of the complete events that arrived with them', () => {
    const splitter = EventSplitter.create()
    splitter.addBytes(Buffer.from(`data: ${'x'.repeat(EVENT_BYTES)}\n\ndata: a`))
    expect([splitter.getBufferedBytes(), splitter.getRemainder().buffer.byteLength < EVENT_BYTES]).toEqual([7, true])
  })
})
