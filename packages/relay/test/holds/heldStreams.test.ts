import { type Logger } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type HoldError, type TakeHoldOptions } from '../../src/targets/RelayTargetClient.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

/** What an engine answers to a call for a reservation, and after what time in milliseconds. */
type HoldAnswer = readonly [Result<string, HoldError>, number]

interface Options {
  readonly isLoadPartial?: boolean
  readonly maxHoldMs?: number
  /** Answers by engine; by default an engine grants a reservation that bears its name after 5 ms. */
  readonly holdAnswers?: Readonly<Record<string, HoldAnswer>>
  readonly scripts?: Readonly<Record<string, ScriptedAnswer[]>>
  /** Actions at clock readings in milliseconds. */
  readonly actions?: ReadonlyArray<readonly [number, (dependencies: TestDependencies, sink: FakeSink) => void]>
  readonly extra?: number
  /** Time until the deadline of the request, in milliseconds. */
  readonly timeoutMs?: number
  readonly receivedAtMs?: number
  readonly canMove?: boolean
  readonly logger?: Logger
}

interface Outcome {
  readonly sink: FakeSink
  /** Engines that were asked for a reservation, in order. */
  readonly asked: readonly string[]
  /** Engines that got the request, with the reservation and the urgency that it carried. */
  readonly sent: ReadonlyArray<readonly [string, string | undefined, number | undefined]>
  readonly sentAtMs: readonly number[]
  readonly dropped: readonly string[]
  /** Running requests that count as load at an engine in the end. */
  readonly running: number
  readonly dependencies: TestDependencies
}

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const complete: ScriptedAnswer = { steps: [createEvent(1), createEvent(2), 'END'] }
const createEngine = (name: string, change: Partial<RelayTarget> = {}): RelayTarget => createTarget(name, { service: ENGINES.name, ...change })

const NAMES = ['a', 'b']

/** Runs one stream of priority 2 with two engines, of which the first one is the least used. */
async function doTest ({ isLoadPartial = true, maxHoldMs = 2000, holdAnswers = {}, scripts = {}, actions = [], extra, timeoutMs = 8000, receivedAtMs = 0, canMove = false, logger }: Options): Promise<Outcome> {
  const dependencies = createTestDependencies({ isLoadPartial: () => isLoadPartial, extra, logger })
  const { clock, client, table, loads } = dependencies
  for (const name of NAMES) {
    table.updateTarget(createEngine(name))
    client.scripts.set(name, scripts[name] ?? [complete])
  }
  loads.updatePeer('peer', new Map(NAMES.map((name, index) => [name, { running: index, tokens: 0 }])))
  client.answerHold = async ({ target }: TakeHoldOptions) => {
    const [answer, afterMs] = holdAnswers[target.name] ?? [Result.ok<string, HoldError>(`hold-${target.name}`), 5]
    await clock.sleep(afterMs)
    return answer
  }
  const service: ServiceProfile = { ...ENGINES, engine: { ...ENGINES.engine!, canMove, maxHoldMs } }
  const route = createRoute({ kind: 'stream', maxAttempts: 1, priority: 2, timeoutMs, objectiveMs: 1000, maxGapMs: 100 })
  const { context, sink, endController } = createContext(route, service, { receivedAtMs, size: { promptTokens: 1000, maxOutputTokens: 400, expectedOutputTokens: 300 } })
  clock.startTimer(route.timeoutMs, () => endController.abort())
  for (const [atMs, action] of actions) clock.startTimer(atMs, () => action(dependencies, sink))
  const running = runRelayedStream(dependencies, context)
  await clock.advance(10_000)
  await running
  return {
    sink,
    asked: client.holdCalls.map(({ target }) => target.name),
    sent: client.attempts.map(({ target, options: { hold, urgency } }) => [target, hold, urgency]),
    sentAtMs: client.attempts.map(({ atMs }) => atMs),
    dropped: client.droppedHolds,
    running: NAMES.reduce((sum, name) => sum + loads.getOwnLoad(name).running, 0),
    dependencies
  }
}

const refuse = (error: HoldError, afterMs = 5): HoldAnswer => [Result.err(error), afterMs]
const grant = (name: string, afterMs: number): HoldAnswer => [Result.ok(`hold-${name}`), afterMs]

describe('streams with reservations', () => {
  it('reserve the prompt and the whole expected output, and are sent at once with the reservation and the common urgency', async () => {
    const { sink, sent, sentAtMs, dropped, running, dependencies } = await doTest({})
    expect(dependencies.client.holdCalls.map(({ tokens, ttlMs }) => [tokens, ttlMs])).toEqual([[1300, 500]])
    expect([sink.endState, sent, sentAtMs, dropped, running]).toEqual(['complete', [['a', 'hold-a', 5]], [5], [], 0])
  })

  it.each([['all loads are known', { isLoadPartial: false }], ['engines grant no reservations', { maxHoldMs: 0 }]])('take none while %s', async (_, options) => {
    const { sink, asked, sent, sentAtMs } = await doTest(options)
    expect([sink.endState, asked, sent, sentAtMs]).toEqual(['complete', [], [['a', undefined, 2]], [0]])
  })

  it('ask the next engine when one has no capacity, and close that one for as much memory for a short time', async () => {
    const waits: unknown[] = []
    const readWaits = ({ holds, clock, table }: TestDependencies): void => {
      waits.push([clock.nowMs(), ...[1179, 1180, 2000].map(tokens => Math.round(holds.getWaitMs(table.getTracked('a')!.target, tokens)))])
    }
    const { asked, sent } = await doTest({ holdAnswers: { a: refuse('full') }, actions: [[6, readWaits], [131, readWaits]] })
    expect([asked, sent]).toEqual([['a', 'b'], [['b', 'hold-b', 5]]])
    expect(waits).toEqual([[6, 0, 124, 124], [131, 0, 0, 0]])
  })

  it('open an engine that is closed when they end there', async () => {
    const waits: number[] = []
    const readWait = ({ holds, table }: TestDependencies): void => { waits.push(Math.round(holds.getWaitMs(table.getTracked('a')!.target, 2000))) }
    const closeEngine = ({ client, holds }: TestDependencies): void => {
      client.answerHold = async () => Result.err('full')
      holds.takeHold({ requestId: 'q2', service: { ...ENGINES, engine: { ...ENGINES.engine!, maxHoldMs: 2000 } }, target: createEngine('a'), tokens: 2000, requiredTokens: 2000, objectiveMs: 1000, giveUpMs: Infinity, refusals: 0, signal: new AbortController().signal })
    }
    await doTest({ scripts: { a: [{ steps: [createEvent(1), 60, createEvent(2), 'END'] }] }, actions: [[20, closeEngine], [30, readWait], [70, readWait]] })
    expect(waits).toEqual([115, 0])
  })

  it('are announced to peers when they are sent, and not for each engine that is asked', async () => {
    const announcedAtMs: number[] = []
    await doTest({ holdAnswers: { a: refuse('full') }, actions: [[1, ({ loads, clock }) => loads.setUrgentListener(() => announcedAtMs.push(clock.nowMs()))]] })
    expect(announcedAtMs).toEqual([10])
  })

  it('are refused as overloaded within half of the objective while no engine has capacity, and nothing is sent', async () => {
    let refusedAtMs: number | undefined
    const watch = ({ clock }: TestDependencies, sink: FakeSink): void => {
      const refuseSink = sink.refuse.bind(sink)
      sink.refuse = refusal => { refusedAtMs = clock.nowMs(); refuseSink(refusal) }
    }
    const { sink, sent, running, asked } = await doTest({ holdAnswers: { a: refuse('full'), b: refuse('full') }, actions: [[1, watch]] })
    expect([sink.describe(), sent, running]).toEqual(['503 overloaded', [], 0])
    expect(refusedAtMs).toBeLessThanOrEqual(500)
    expect(asked.length).toBeGreaterThan(2)
  })

  it('are sent when an engine that refused has capacity again', async () => {
    const { sink, sent, sentAtMs } = await doTest({ holdAnswers: { a: refuse('full'), b: refuse('full') }, actions: [[200, ({ client }) => { client.answerHold = async ({ target }) => Result.ok(`later-${target.name}`) }]] })
    expect([sink.endState, sent.length, sent[0]![2]]).toEqual(['complete', 1, 5])
    expect(sent[0]![1]).toBe(`later-${sent[0]![0]}`)
    expect(sentAtMs[0]).toBeLessThanOrEqual(500)
  })
})

describe('streams whose engine gives no reservation for another reason', () => {
  it.each([['no answer in time', refuse('unanswered', 5000), 125], ['an unreadable answer', refuse('unanswered'), 5]] as const)('are sent to it without one after %s', async (_, answer, atMs) => {
    const { sink, sent, sentAtMs, dropped } = await doTest({ holdAnswers: { a: answer } })
    expect([sink.endState, sent, sentAtMs, dropped]).toEqual(['complete', [['a', undefined, 5]], [atMs], []])
  })

  it('are sent to the next engine when it cannot be reached', async () => {
    const { sink, asked, sent } = await doTest({ holdAnswers: { a: refuse('unreachable') } })
    expect([sink.endState, asked, sent]).toEqual(['complete', ['a', 'b'], [['b', 'hold-b', 5]]])
  })

  it('are sent to the next engine when it wants no requests', async () => {
    const backOff = ({ client }: TestDependencies): void => client.notifyNotices(createEngine('a'), [{ kind: 'backoff', durationMs: 3000, text: '3' }])
    const { sink, asked, sent } = await doTest({ holdAnswers: { a: refuse('full') }, actions: [[4, backOff]] })
    expect([sink.endState, asked, sent]).toEqual(['complete', ['a', 'b'], [['b', 'hold-b', 5]]])
  })

  it('leave an engine that gave no answer in time to no other request for a short time', async () => {
    const waits: number[] = []
    const readWait = ({ holds, table }: TestDependencies): void => { waits.push(Math.round(holds.getWaitMs(table.getTracked('a')!.target, 1))) }
    await doTest({ holdAnswers: { a: grant('a', 300) }, scripts: { a: [{ steps: [createEvent(1), 500, createEvent(2), 'END'] }] }, actions: [[126, readWait], [251, readWait]] })
    await doTest({ holdAnswers: { a: refuse('unanswered') }, scripts: { a: [{ steps: [createEvent(1), 500, createEvent(2), 'END'] }] }, actions: [[6, readWait]] })
    expect(waits).toEqual([124, 0, 0])
  })

  it('drop a reservation whose answer comes late', async () => {
    const { sink, sent, dropped } = await doTest({ holdAnswers: { a: grant('a', 300) } })
    expect([sink.endState, sent, dropped]).toEqual(['complete', [['a', undefined, 5]], ['hold-a']])
  })
})

describe('reservations of streams that are not sent, or not run', () => {
  it('are dropped when the caller leaves during the call', async () => {
    const { sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 50) }, actions: [[20, (_, sink) => sink.leave()]] })
    expect([sent, dropped, running]).toEqual([[], ['hold-a'], 0])
  })

  it('are dropped when the engine leaves during the call, and another engine is asked', async () => {
    const leave = ({ table }: TestDependencies): void => { table.updateTarget(createEngine('a', { phase: 'leaving' })) }
    const { sink, sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 50) }, actions: [[20, leave]] })
    expect([sink.endState, sent, dropped, running]).toEqual(['complete', [['b', 'hold-b', 5]], ['hold-a'], 0])
  })

  it('expire by themselves when the engine wants no requests any more during the call, and another engine is asked', async () => {
    const backOff = ({ client }: TestDependencies): void => client.notifyNotices(createEngine('a'), [{ kind: 'backoff', durationMs: 3000, text: '3' }])
    const { sink, sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 50) }, actions: [[20, backOff]], extra: 0 })
    expect([sink.endState, sent, dropped, running]).toEqual(['complete', [['b', 'hold-b', 5]], [], 0])
  })

  it.each([['restarts', { startedAtMs: 2 }], ['has another software version', { softwareVersion: 'v2' }]])('are dropped when the engine %s during the call', async (_, change) => {
    const restart = ({ table }: TestDependencies): void => { table.updateTarget(createEngine('a', change)) }
    const { sink, sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 50) }, actions: [[20, restart]] })
    expect([sink.endState, sent.length, dropped, running]).toEqual(['complete', 1, ['hold-a'], 0])
  })

  it.each(['notExecuted', 'notSent', 'notHere'] as const)('are dropped when the engine ends before the request (%s), which goes to another engine without budget', async error => {
    const { sink, sent, dropped, running } = await doTest({ scripts: { a: [{ error }] }, extra: error === 'notSent' ? 0 : undefined })
    expect([sink.endState, sent, dropped, running]).toEqual(['complete', [['a', 'hold-a', 5], ['b', 'hold-b', 5]], ['hold-a'], 0])
  })

  it('are dropped when the retry budget allows no further attempt', async () => {
    const { sink, sent, dropped, running } = await doTest({ scripts: { a: [{ error: 'notExecuted' }] }, extra: 0 })
    expect([sink.describe(), sent.length, dropped, running]).toEqual(['503 notExecuted', 1, ['hold-a', 'hold-b'], 0])
  })

  it('are dropped when parts of the prompt are blamed for crashes during the call', async () => {
    const { sink, sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 50) }, actions: [[20, ({ crashes }) => { crashes.mustRefuse = () => true }]] })
    expect([sink.refusal?.reason, sent, dropped, running]).toEqual(['crashesEngines', [], ['hold-a'], 0])
  })

  it('are not dropped after the engine has begun to run the request', async () => {
    const { sink, dropped, running } = await doTest({ scripts: { a: [{ steps: [createEvent(1), { error: 'lost' }] }] } })
    expect([sink.endState, dropped, running]).toEqual(['brokenOff', [], 0])
  })

  it('are dropped when the time to wait ends during the call, after which nothing is sent', async () => {
    const { sink, sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 90) }, receivedAtMs: -450 })
    expect([sink.describe(), sent, dropped, running]).toEqual(['503 overloaded', [], ['hold-a'], 0])
  })

  it('are dropped when the deadline passes during the call', async () => {
    const { sink, sent, dropped, running } = await doTest({ holdAnswers: { a: grant('a', 90) }, timeoutMs: 50, receivedAtMs: -600 })
    expect([sink.describe(), sent, dropped, running]).toEqual(['503 timeoutNotRun', [], ['hold-a'], 0])
  })
})

describe('streams that continue from a copy of their memory', () => {
  it('need no reservation, and have the common urgency', async () => {
    const { sink, asked, sent, dropped, running, dependencies } = await doTest({
      canMove: true,
      scripts: { a: [{ steps: [createEvent(1)] }], b: [{ steps: [createEvent(2), 'END'] }] },
      actions: [[20, ({ client }) => { client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 }) }], [30, ({ table }) => { table.updateTarget(createEngine('a', { phase: 'leaving' })) }]]
    })
    expect(dependencies.client.attempts[1]?.options.continuation).toEqual({ address: 'a:1', handle: 'h' })
    expect([sink.endState, asked, sent, dropped, running]).toEqual(['complete', ['a'], [['a', 'hold-a', 5], ['b', undefined, 5]], [], 0])
  })
})

describe('the log', () => {
  async function listLines (options: Options): Promise<unknown[]> {
    const lines: unknown[] = []
    const logger = { info: (fields: Record<string, unknown>, message: string) => { if (message.includes('reservation')) lines.push({ message, ...fields }) }, warn: () => undefined } as unknown as Logger
    await doTest({ ...options, logger })
    return lines
  }

  it('tells of the first engine that was asked and of the reservation, with their inputs', async () => {
    const lines = await listLines({ holdAnswers: { a: refuse('full') }, scripts: { b: [{ error: 'lost' }] } })
    expect(lines).toEqual([
      { message: 'reservation not taken', request: 'q1', target: 'a', reason: 'full', tokens: 1300, refusals: 0, closedMs: 125, ttlMs: 500, answerMs: 5 },
      { message: 'reservation taken', request: 'q1', target: 'b', hold: 'hold-b', tokens: 1300, refusals: 1, ttlMs: 500, answerMs: 5 }
    ])
  })

  it('tells of a dropped reservation', async () => {
    const [, dropped] = await listLines({ scripts: { a: [{ error: 'notExecuted' }] } })
    expect(dropped).toEqual({ message: 'reservation dropped', request: 'q1', target: 'a', hold: 'hold-a' })
  })

  it('tells how many engines refused a request that got none', async () => {
    const { length, [length - 1]: last } = await listLines({ holdAnswers: { a: refuse('full'), b: refuse('full') } })
    expect([length, last]).toEqual([2, { message: 'no reservation in time', request: 'q1', tokens: 1300, refusals: expect.any(Number), maxWaitMs: 500, waitedMs: 485 }])
  })
})

describe('calls for reservations', () => {
  it('use neither the attempts of the route nor the retry budget', async () => {
    const { sink, dependencies } = await doTest({ holdAnswers: { a: refuse('full') }, extra: 0 })
    expect(sink.endState).toBe('complete')
    expect(dependencies.registry.getCounter('relayedRequests', { route: 'r', outcome: 'answered' }).getReading().value).toBe(1)
  })

  it.each([
    ['taken', {}], ['refused', { holdAnswers: { a: refuse('full') } }], ['failed', { holdAnswers: { a: refuse('unanswered') } }], ['failed', { holdAnswers: { a: refuse('unreachable') } }], ['dropped', { scripts: { a: [{ error: 'notExecuted' }] } }]
  ] as const)('are counted as %s', async (result, options) => {
    const { dependencies } = await doTest(options as Options)
    expect(dependencies.registry.getCounter('engineReservations', { service: ENGINES.name, result }).getReading().value).toBe(1)
  })
})
