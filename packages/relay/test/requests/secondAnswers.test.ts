import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { CALLS, createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const received = createEvent(1) + createEvent(2)
const error = '{"error":"failed"}'
const errorHead = `HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: ${error.length}\r\n\r\n`

/** How a stream comes to its second answer: the way in which the first target stops, and the properties of the route. */
interface Handover {
  readonly first: ScriptedAnswer
  readonly service: ServiceProfile
  readonly route: Partial<RelayRoute>
  readonly prepare?: (dependencies: TestDependencies) => void
}

const RESUMABLE = { isResumable: true, maxAttempts: 2 }

const answerCopies = ({ client }: TestDependencies): void => { client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 2 }) }

const HANDOVERS: Readonly<Record<string, Handover>> = {
  'is resumed': { first: { steps: [received, { error: 'lost' }] }, service: ENGINES, route: RESUMABLE },
  'is resumed at a service without engines': { first: { steps: [received, { error: 'lost' }] }, service: CALLS, route: RESUMABLE },
  'is resumed in the middle of an event': { first: { steps: [received + 'id: 3\nda', 'END'] }, service: ENGINES, route: RESUMABLE },
  'is resumed after a stall': { first: { steps: [received] }, service: ENGINES, route: RESUMABLE },
  'is moved after a stall': { first: { steps: [received] }, service: ENGINES, route: {}, prepare: answerCopies },
  'is moved because its engine leaves': {
    first: { steps: [createEvent(1), 300, createEvent(2), 10_000] },
    service: ENGINES,
    route: { maxGapMs: 5000 },
    prepare: dependencies => {
      answerCopies(dependencies)
      dependencies.clock.startTimer(200, () => dependencies.table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
    }
  }
}

const SECOND_ANSWERS: Readonly<Record<string, ScriptedAnswer>> = {
  'a signed failure': { status: 500, steps: [error, 'END'] },
  'an unsigned failure': { status: 500, isSigned: false, steps: [error, 'END'] },
  'a signed failure that is cut off': { status: 500, steps: [error, { error: 'lost' }] },
  'a signed failure with the type of a stream': { status: 500, isEventStream: true, steps: [createEvent(3), 'END'] },
  'a refusal without a statement that nothing ran': { status: 503, steps: [error, 'END'] },
  'a refusal that states that nothing ran': { error: 'notExecuted' },
  'an answer of another target': { error: 'notHere' },
  'an error of the caller': { status: 404, steps: [error, 'END'] },
  'a redirect': { status: 302, steps: [error, 'END'] },
  'a redirect with the type of a stream': { status: 307, isEventStream: true, steps: [createEvent(3), 'END'] },
  'another success': { status: 206, isEventStream: true, steps: [createEvent(3), 'END'] },
  'a success without content': { status: 204, isEventStream: false, steps: ['END'] },
  'plain text': { isEventStream: false, steps: [error, 'END'] },
  'plain text of several paragraphs': { isEventStream: false, steps: ['failed\n\nid: 3\ndata: x\n\n', 'END'] },
  'an unsigned stream': { isSigned: false, steps: [createEvent(3), 'END'] },
  'an unsigned stream without events': { isSigned: false, steps: ['END'] },
  'a stream of plain text': { steps: [error, 'END'] },
  'a stream of an error without an id': { steps: [`event: error\ndata: ${error}\n\n`, 'END'] },
  'a stream of an error without an id after a comment': { steps: [': x\n\n', `data: ${error}\n\n`, 'END'] },
  'a stream of events without ids': { steps: ['data: x\n\ndata: y\n\n', 'END'] },
  'a stream from the start': { steps: [received + createEvent(3), 'END'] },
  'a stream from the start after a comment': { steps: [`: x\n\n${received}${createEvent(3)}`, 'END'] },
  'a stream that goes back': { steps: [createEvent(3) + createEvent(2), 'END'] },
  'a stream that repeats an event': { steps: [createEvent(3) + createEvent(3), 'END'] },
  'a stream that begins inside an event': { steps: [`3\n\n${createEvent(4)}`, 'END'] },
  'a stream that contains the head of an error': { steps: [errorHead + error, 'END'] },
  'a stream that contains the head of an error without a body': { steps: [errorHead, 'END'] },
  'a stream that contains the head of an error in two parts': { steps: ['HTTP/1.1 500 Internal', errorHead.slice('HTTP/1.1 500 Internal'.length), 'END'] },
  'a stream that stops inside an event before the head of an error': { steps: ['id: 3\nda', errorHead + error, 'END'] },
  'a stream that is cut off before its first event': { steps: [{ error: 'lost' }] },
  'a stream that is cut off inside an event': { steps: ['id: 3\nda', { error: 'lost' }] },
  'a stream that ends inside an event': { steps: ['id: 3\nda', 'END'] },
  'an answer that is cut off before its head': { error: 'lost' }
}

/** Runs a stream whose second target answers as given; returns what its caller receives. */
async function doTest ({ first, service, route: routeOptions, prepare }: Handover, second: ScriptedAnswer): Promise<{ sink: FakeSink, dependencies: TestDependencies }> {
  const dependencies = createTestDependencies()
  for (const [name, answer] of Object.entries({ a: first, b: second })) {
    dependencies.table.updateTarget(createTarget(name, { service: service.name }))
    dependencies.client.scripts.set(name, name === 'a' ? [answer, second] : [answer])
  }
  dependencies.loads.updatePeer('peer', new Map([['b', { running: 1, tokens: 0 }]]))
  prepare?.(dependencies)
  const route = createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...routeOptions })
  const { context, sink, endController } = createContext(route, service, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  dependencies.clock.startTimer(route.timeoutMs, () => endController.abort())
  runRelayedStream(dependencies, context)
  await dependencies.clock.advance(60_000)
  return { sink, dependencies }
}

/** Removes comments, which are not part of a stream's events. */
const removeComments = (text: string): string => text.replaceAll(': x\n\n', '')

describe.each(Object.entries(HANDOVERS))('a started stream that %s', (_, handover) => {
  it.each(Object.entries(SECOND_ANSWERS))('contains no part of another answer, and does not look complete after it: %s', async (_, second) => {
    const { sink, dependencies } = await doTest(handover, second)
    expect(dependencies.client.listTargets().slice(0, 2)).toEqual(['a', 'b'])
    expect([received, received + createEvent(3)]).toContain(removeComments(sink.text))
    expect(sink.text).not.toContain('HTTP/')
    expect([sink.status, sink.endState]).toEqual([200, 'brokenOff'])
  })

  it('goes on with the events that follow', async () => {
    const { sink } = await doTest(handover, { steps: [`: x\n\n${createEvent(3)}`, createEvent(4), 'END'] })
    expect([removeComments(sink.text), sink.endState]).toEqual([received + createEvent(3) + createEvent(4), 'complete'])
  })

  it('is complete when no events follow', async () => {
    const { sink } = await doTest(handover, { steps: ['END'] })
    expect([sink.text, sink.endState]).toEqual([received, 'complete'])
  })
})
