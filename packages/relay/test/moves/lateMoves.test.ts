import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'

const GRACE_MS = 8000

/** Number of events of the stream, and time between them in milliseconds. */
const EVENT_COUNT = 37
const EVENT_MS = 200

/** Number of events after which an engine is silent. */
const SILENT_AFTER = 28

const createEvent = (index: number): string => `id: ${index + 1}\ndata: d\n\n`

/** Serves a stream of 7.4 s at a stopping instance while its engine leaves; returns what the caller got, and from which engines copies were requested. */
async function doTest (leavesAtMs: number): Promise<string> {
  const dependencies = createTestDependencies({ graceMs: GRACE_MS })
  const { clock, client, table, loads, drain } = dependencies
  for (const name of ['a', 'b']) table.updateTarget(createTarget(name, { service: ENGINES.name }))
  loads.updatePeer('peer', new Map([['b', { running: 1, tokens: 0 }]]))
  client.scripts.set('a', [{ steps: [...Array.from({ length: EVENT_COUNT }, (_, index) => [EVENT_MS, createEvent(index)]).flat(), 'END'] }])
  client.scripts.set('b', [{ steps: ['END'] }])
  client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 })
  const { context, sink } = createContext(createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000 }), ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  runRelayedStream(dependencies, context)
  await clock.advance(1)
  drain.start()
  clock.startTimer(leavesAtMs, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
  await clock.advance(GRACE_MS)
  return `${sink.text.match(/id/g)?.length ?? 0} events, ${sink.endState}, ${client.copies.length} copies`
}

/** Serves a stream at a stopping instance whose engine is silent for 1.5 s shortly before the end, while another engine would need 1.3 s; returns what the caller got. */
async function doSilenceTest (): Promise<string> {
  const dependencies = createTestDependencies({ graceMs: GRACE_MS })
  const { clock, client, table, loads, drain } = dependencies
  for (const name of ['a', 'b']) table.updateTarget(createTarget(name, { service: ENGINES.name }))
  loads.updatePeer('peer', new Map([['b', { running: 1, tokens: 0 }]]))
  const lastEvents = [createEvent(SILENT_AFTER), 100, createEvent(SILENT_AFTER + 1), 'END'] as const
  client.scripts.set('a', [{ steps: [...Array.from({ length: SILENT_AFTER }, (_, index) => [EVENT_MS, createEvent(index)]).flat(), 1500, ...lastEvents] }])
  client.scripts.set('b', [{ steps: [1300, ...lastEvents] }])
  client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: SILENT_AFTER })
  const { context, sink } = createContext(createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: EVENT_MS }), ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  runRelayedStream(dependencies, context)
  await clock.advance(1)
  drain.start()
  await clock.advance(GRACE_MS)
  return `${sink.text.match(/id/g)?.length ?? 0} events, ${sink.endState}, ${client.copies.length} copies`
}

/** Guards against LOST: a move that a stopping instance began shortly before its end stopped a stream that would have ended in time. */
describe('a stopping instance', () => {
  it('moves streams off engines that leave', async () => expect(await doTest(3000)).toMatchInlineSnapshot('"15 events, complete, 2 copies"'))
  it('lets them end where they are shortly before its end, since the engine serves longer', async () => expect(await doTest(6500)).toMatchInlineSnapshot('"37 events, complete, 0 copies"'))
  it('does not stop them because they are silent shortly before its end', async () => expect(await doSilenceTest()).toMatchInlineSnapshot('"30 events, complete, 0 copies"'))
})
