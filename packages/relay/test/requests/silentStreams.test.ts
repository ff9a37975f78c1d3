import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createTarget, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type AnswerStep, type ScriptedAnswer } from '../support/FakeTargetClient.js'
import { createEvent, runSilentStream, SILENT_AFTER_START, SILENT_BEFORE_START, WHOLE } from '../support/runSilentStream.js'

/** Interval of the reports of a full engine, in milliseconds. */
const REPORT_INTERVAL_MS = 100

const other: ScriptedAnswer = { steps: [createEvent(2), 'END'] }

/** Lists the steps of an engine at which a silent stream goes on. */
const listRest = (silent: ScriptedAnswer): AnswerStep[] => silent === SILENT_BEFORE_START ? [createEvent(1), createEvent(2), 'END'] : [createEvent(2), 'END']

const SILENT: ReadonlyArray<[string, ScriptedAnswer]> = [['before its first event', SILENT_BEFORE_START], ['between two events', SILENT_AFTER_START]]

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
    const { sink, dependencies } = await runSilentStream({ a: answer, b: other }, { prepare })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
  })
})

describe.each(SILENT)('a stream that is silent for a while %s', (_, silent) => {
  it('is not given up when there is no other engine', async () => {
    expect((await runSilentStream({ a: silent })).sink.describe()).toBe(WHOLE)
  })

  it('is not given up when the other engine has no room', async () => {
    const { sink, dependencies } = await runSilentStream({ a: silent, b: other }, { prepare: fill('b', 60_000) })
    expect(sink.describe()).toBe(WHOLE)
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('is not given up when the other engine leaves', async () => {
    const prepare = ({ table }: TestDependencies): void => { table.updateTarget(createTarget('b', { service: ENGINES.name, phase: 'leaving' })) }
    expect((await runSilentStream({ a: silent, b: other }, { prepare })).sink.describe()).toBe(WHOLE)
  })

  it('is not given up when no attempt is left in the budget', async () => {
    const { sink, dependencies } = await runSilentStream({ a: silent, b: other }, { extra: 0 })
    expect(sink.describe()).toBe(WHOLE)
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('is not given up when no attempt of its route is left', async () => {
    expect((await runSilentStream({ a: silent, b: other }, { route: { maxAttempts: 1 } })).sink.describe()).toBe(WHOLE)
  })

  it('is not given up when the process stops and may not send it again', async () => {
    const prepare = ({ clock, drain }: TestDependencies): void => { clock.startTimer(200, () => drain.start()) }
    const { sink, dependencies } = await runSilentStream({ a: silent, b: { steps: listRest(silent) } }, { prepare, graceMs: 3000 })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, silent === SILENT_BEFORE_START ? ['a'] : ['a', 'b']])
  })

  it('goes on at another engine that becomes free later', async () => {
    const longer = { ...silent, steps: [createEvent(1), 60_000] }
    const { sink, dependencies } = await runSilentStream({ a: longer, b: { steps: listRest(silent) } }, { prepare: fill('b', 3000) })
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
    expect(dependencies.client.attempts[1]!.atMs).toBeGreaterThanOrEqual(3000)
    expect(sink.describe()).toBe(WHOLE)
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('is not given up when no other engine reserves capacity', async () => {
    const { sink, dependencies } = await runSilentStream({ a: silent, b: other }, { holds: { answer: Result.err('full'), afterMs: 5 } })
    expect(dependencies.client.holdCalls.some(({ target }) => target.name === 'b')).toBe(true)
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
  })

  it('stays at an engine that goes on while another one is asked for capacity, which is given back', async () => {
    const soon = silent === SILENT_BEFORE_START ? { afterMs: 1240, steps: [createEvent(1), 100, createEvent(2), 'END' as const] } : { steps: [createEvent(1), 1240, createEvent(2), 100, 'END' as const] }
    const { sink, dependencies } = await runSilentStream({ a: soon, b: other }, { holds: { answer: Result.ok('second'), afterMs: 60 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
    expect(dependencies.client.droppedHolds).toContain('second')
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('goes on at another engine that has reserved capacity', async () => {
    const { sink, dependencies } = await runSilentStream({ a: { ...silent, steps: [createEvent(1), 60_000] }, b: { steps: listRest(silent) } }, { holds: { answer: Result.ok('second'), afterMs: 5 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
    expect(dependencies.client.attempts[1]!.options.hold).toBe('second')
    expect(dependencies.client.holdCalls.map(({ target }) => target.name)).toEqual(['a', 'b'])
  })
})
