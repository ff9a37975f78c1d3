import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const PART_BYTES = 300_000

/** Parts of a body without empty lines. */
const parts = Array.from({ length: 9 }, (_, index) => String(index).repeat(PART_BYTES))

async function doTest (answer: ScriptedAnswer): Promise<FakeSink> {
  const dependencies = createTestDependencies()
  dependencies.table.updateTarget(createTarget('a', { service: ENGINES.name }))
  dependencies.client.scripts.set('a', [answer])
  const { context, sink } = createContext(createRoute({ kind: 'stream', maxAttempts: 1 }), ENGINES)
  runRelayedStream(dependencies, context)
  await dependencies.clock.advance(10_000)
  return sink
}

describe('a large body without empty lines on a route of streams', () => {
  it.each([200, 404, 500])('is forwarded completely if it is not a series of events: %i', async status => {
    const sink = await doTest({ status, isEventStream: false, steps: [...parts, 'END'] })
    expect([sink.status, sink.text === parts.join(''), sink.endState]).toEqual([status, true, 'complete'])
  })

  it('is broken off where its target stops', async () => {
    const sink = await doTest({ isEventStream: false, steps: [...parts, { error: 'lost' }] })
    expect([sink.status, sink.endState]).toEqual([200, 'brokenOff'])
  })

  it('is not forwarded if it should be a series of events', async () => {
    expect((await doTest({ steps: [...parts, 'END'] })).describe()).toBe('502 lost')
  })
})
