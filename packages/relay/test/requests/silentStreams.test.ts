import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type HoldError } from '../../src/targets/RelayTargetClient.js'
import { type AnswerStep, type ScriptedAnswer } from '../support/FakeTargetClient.js'

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const HOLDING: ServiceProfile = { ...ENGINES, engine: { ...ENGINES.engine!, maxHoldMs: 2000 } }
const SILENCE_MS = 5000

/** Interval of the reports of a full engine, in milliseconds. */
const REPORT_INTERVAL_MS = 100

interface Options {
  readonly extra?: number
  readonly graceMs?: number
  /** What other engines answer to calls for a reservation, after some time in milliseconds; by default engines reserve nothing. */
  readonly holds?: { readonly answer: Result<string, HoldError>, readonly afterMs: number }
  readonly route?: Partial<RelayRoute>
  /** Changes the dependencies before the stream begins. */
  readonly prepare?: (dependencies: TestDependencies) => void
}

/** Runs a stream that may be resumed, and whose targets have the given scripts; the first target is the least used. */
async function doTest (scripts: Record<string, ScriptedAnswer>, { extra, graceMs, holds, route: routeOptions, prepare }: Options = {}): Promise<{ sink: FakeSink, dependencies: TestDependencies }> {
  const dependencies = createTestDependencies({ extra, graceMs, isLoadPartial: () => holds !== undefined })
  for (const [name, answer] of Object.entries(scripts)) {
    dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name }))
    dependencies.client.scripts.set(name, [answer])
  }
  dependencies.loads.updatePeer('peer', new Map(Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])))
  dependencies.client.answerCopy = async () => Result.err({ reason: 'unreachable' })
  dependencies.client.answerHold = async ({ target }) => {
    if (holds === undefined || target.name === 'a') return Result.ok('first')
    await dependencies.clock.sleep(holds.afterMs)
    return holds.answer
  }
  const route = createRoute({ kind: 'stream', maxAttempts: 2, isResumable: true, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...routeOptions })
  const { context, sink, endController } = createContext(route, HOLDING, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  dependencies.clock.startTimer(route.timeoutMs, () => endController.abort())
  prepare?.(dependencies)
  runRelayedStream(dependencies, context)
  await dependencies.clock.advance(60_000)
  return { sink, dependencies }
}

const silentAfterStart: ScriptedAnswer = { steps: [createEvent(1), SILENCE_MS, createEvent(2), 'END'] }
const silentBeforeStart: ScriptedAnswer = { afterMs: SILENCE_MS, steps: [createEvent(1), createEvent(2), 'END'] }
const other: ScriptedAnswer = { steps: [createEvent(2), 'END'] }
const WHOLE = `200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`

/** Lists the steps of an engine at which a silent stream goes on. */
const listRest = (silent: ScriptedAnswer): AnswerStep[] => silent === silentBeforeStart ? [createEvent(1), createEvent(2), 'END'] : [createEvent(2), 'END']

const SILENT: ReadonlyArray<[string, ScriptedAnswer]> = [['before its first event', silentBeforeStart], ['between two events', silentAfterStart]]

/** Fills an engine for a while, so that it has no room for a further run. */
const fill = (name: string, durationMs: number) => ({ clock, loads }: TestDependencies): void => {
  const report = (): void => {
    const isFull = clock.nowMs() < durationMs
    loads.updatePeer('other', new Map(isFull ? [[name, { running: 100, tokens: 1_000_000 }]] : []))
    if (isFull) clock.startTimer(REPORT_INTERVAL_MS, report)
  }
  report()
}

/** Guards against LOST: after a pause of the process, streams counted as stalled whose events had arrived and were not read yet. */
describe('a stream whose events arrive while the process stands still', () => {
  it.each<[string, ScriptedAnswer]>([
    ['before its first event', { afterMs: 1000, steps: [createEvent(1), createEvent(2), 'END'] }],
    ['between two events', { steps: [createEvent(1), 1000, createEvent(2), 'END'] }]
  ])('stays at its engine: %s', async (_, answer) => {
    const prepare = ({ clock }: TestDependencies): void => { clock.startTimer(700, () => clock.jump(2000)) }
    const { sink, dependencies } = await doTest({ a: answer, b: other }, { prepare })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
  })
})

describe.each(SILENT)('a stream that is silent for a while %s', (_, silent) => {
  it('is not given up when there is no other engine', async () => {
    expect((await doTest({ a: silent })).sink.describe()).toBe(WHOLE)
  })

  it('is not given up when the other engine has no room', async () => {
    const { sink, dependencies } = await doTest({ a: silent, b: other }, { prepare: fill('b', 60_000) })
    expect(sink.describe()).toBe(WHOLE)
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('is not given up when the other engine leaves', async () => {
    const prepare = ({ table }: TestDependencies): void => { table.updateTarget(createTarget('b', { service: ENGINES.name, phase: 'leaving' })) }
    expect((await doTest({ a: silent, b: other }, { prepare })).sink.describe()).toBe(WHOLE)
  })

  it('is not given up when no attempt is left in the budget', async () => {
    const { sink, dependencies } = await doTest({ a: silent, b: other }, { extra: 0 })
    expect(sink.describe()).toBe(WHOLE)
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('is not given up when no attempt of its route is left', async () => {
    expect((await doTest({ a: silent, b: other }, { route: { maxAttempts: 1 } })).sink.describe()).toBe(WHOLE)
  })

  it('is not given up when the process stops and may not send it again', async () => {
    const prepare = ({ clock, drain }: TestDependencies): void => { clock.startTimer(200, () => drain.start()) }
    const { sink, dependencies } = await doTest({ a: silent, b: { steps: listRest(silent) } }, { prepare, graceMs: 3000 })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, silent === silentBeforeStart ? ['a'] : ['a', 'b']])
  })

  it('goes on at another engine that becomes free later', async () => {
    const longer = { ...silent, steps: [createEvent(1), 60_000] }
    const { sink, dependencies } = await doTest({ a: longer, b: { steps: listRest(silent) } }, { prepare: fill('b', 3000) })
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
    expect(dependencies.client.attempts[1]!.atMs).toBeGreaterThanOrEqual(3000)
    expect(sink.describe()).toBe(WHOLE)
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('is not given up when no other engine reserves capacity', async () => {
    const { sink, dependencies } = await doTest({ a: silent, b: other }, { holds: { answer: Result.err('full'), afterMs: 5 } })
    expect(dependencies.client.holdCalls.some(({ target }) => target.name === 'b')).toBe(true)
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
  })

  it('stays at an engine that goes on while another one is asked for capacity, which is given back', async () => {
    const soon = silent === silentBeforeStart ? { afterMs: 1240, steps: [createEvent(1), 100, createEvent(2), 'END' as const] } : { steps: [createEvent(1), 1240, createEvent(2), 100, 'END' as const] }
    const { sink, dependencies } = await doTest({ a: soon, b: other }, { holds: { answer: Result.ok('second'), afterMs: 60 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
    expect(dependencies.client.droppedHolds).toContain('second')
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('goes on at another engine that has reserved capacity', async () => {
    const { sink, dependencies } = await doTest({ a: { ...silent, steps: [createEvent(1), 60_000] }, b: { steps: listRest(silent) } }, { holds: { answer: Result.ok('second'), afterMs: 5 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
    expect(dependencies.client.attempts[1]!.options.hold).toBe('second')
    expect(dependencies.client.holdCalls.map(({ target }) => target.name)).toEqual(['a', 'b'])
  })
})
