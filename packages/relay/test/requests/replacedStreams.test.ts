import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { computeFingerprint } from '../../src/crashes/computeFingerprint.js'
import { createRequest, createTarget, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type AnswerStep, type ScriptedAnswer } from '../support/FakeTargetClient.js'
import { createEvent, runSilentStream, SILENT_AFTER_START, SILENT_BEFORE_START, SILENT_STREAM_SIZE, type SilentStreamOptions, WHOLE } from '../support/runSilentStream.js'

const SILENT: ReadonlyArray<[string, ScriptedAnswer]> = [['before its first event', SILENT_BEFORE_START], ['between two events', SILENT_AFTER_START]]

/** Ways in which another engine does not take a stream over, although it had capacity. */
const FAILURES: ReadonlyArray<[string, ScriptedAnswer]> = [
  ['refuses the request', { error: 'notExecuted' }],
  ['accepts no connection', { error: 'notSent' }],
  ['is another target', { error: 'notHere' }],
  ['closes the connection', { error: 'lost' }],
  ['closes the connection after a while', { error: 'lost', afterMs: 200 }],
  ['reports a failure', { status: 500 }],
  ['answers without a signature', { isSigned: false }]
]

/** Plays a stream at an engine that is silent for a while and at another one; returns the answer and the targets that got the request. */
async function doTest (silent: ScriptedAnswer, other: ScriptedAnswer, options?: SilentStreamOptions): Promise<[string, string[]]> {
  const { sink, dependencies } = await runSilentStream({ a: silent, b: other }, options)
  expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  return [sink.describe(), dependencies.client.listTargets()]
}

describe.each(SILENT)('a stream that is silent for a while %s', (_, silent) => {
  it.each(FAILURES)('goes on at its engine when the other one %s', async (_, failure) => {
    const [answer, targets] = await doTest(silent, failure)
    expect([answer, targets.slice(0, 2)]).toEqual([WHOLE, ['a', 'b']])
  })

  it('is sent to no more than four engines while they do not take it over', async () => {
    const refusing: ScriptedAnswer = { error: 'notExecuted' }
    const { sink, dependencies } = await runSilentStream({ a: silent, b: refusing, c: refusing, d: refusing, e: refusing, f: refusing })
    expect([sink.describe(), dependencies.client.attempts.length]).toEqual([WHOLE, 4])
  })

  it('runs at no more engines than its route allows when the other one is silent as well', async () => {
    const { sink, dependencies } = await runSilentStream({ a: silent, b: { afterMs: 3000, steps: [...silent === SILENT_BEFORE_START ? [createEvent(1)] : [], createEvent(2), 'END'] }, c: { steps: [createEvent(2), 'END'] } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('goes on at its engine when that is faster than the other one', async () => {
    const soon: ScriptedAnswer = silent === SILENT_BEFORE_START ? { afterMs: 1400, steps: [createEvent(1), createEvent(2), 'END'] } : { steps: [createEvent(1), 1400, createEvent(2), 'END'] }
    const { sink, dependencies } = await runSilentStream({ a: soon, b: { afterMs: 290, steps: [createEvent(2), 'END'] } })
    expect([sink.describe(), ...dependencies.client.attempts.map(({ attempt }) => attempt.endState)]).toEqual([WHOLE, 'complete', 'aborted'])
  })
})

const rest: AnswerStep[] = [createEvent(2), 'END']

describe('the engine of a silent stream', () => {
  it('is left as soon as another one has begun to answer', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 50, steps: rest } })
    const [first] = dependencies.client.attempts
    expect([sink.describe(), first!.attempt.endState]).toEqual([WHOLE, 'lost'])
  })

  it('goes on while the other one has not answered', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 10_000, steps: rest } })
    expect([sink.describe(), ...dependencies.client.attempts.map(({ attempt }) => attempt.endState)]).toEqual([WHOLE, 'complete', 'aborted'])
  })

  it('goes on while the other one has sent no more than its head', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 50, steps: [10_000, ...rest] } })
    expect([sink.describe(), ...dependencies.client.attempts.map(({ attempt }) => attempt.endState)]).toEqual([WHOLE, 'complete', 'aborted'])
  })

  it('goes on when the other one breaks off after its head', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 50, steps: [100, { error: 'lost' }] } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('goes on when the other one refuses the stream late', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 1000, error: 'notExecuted' } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('is replaced at once when it breaks off while the other one has not answered', async () => {
    const { sink, dependencies } = await runSilentStream({ a: { steps: [createEvent(1), 2000, { error: 'lost' }] }, b: { afterMs: 3000, steps: rest } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('is not replaced for longer than its caller waits', async () => {
    const silent: ScriptedAnswer = { steps: [createEvent(1), 60_000] }
    const { sink, dependencies } = await runSilentStream({ a: silent, b: { afterMs: 60_000, steps: rest } })
    expect([sink.describe(), ...dependencies.client.attempts.map(({ attempt }) => attempt.endState)]).toEqual([`200 ${JSON.stringify(createEvent(1))} brokenOff`, 'aborted', 'aborted'])
  })
})

describe.each(SILENT)('a suspected stream that is silent %s', (_, silent) => {
  it('is not sent to a second engine, which it may crash as well', async () => {
    const prepare = ({ evidence }: TestDependencies): void => {
      const parts = [computeFingerprint({ request: createRequest({ size: SILENT_STREAM_SIZE }) })]
      for (const [target, atMs] of [['x', 0], ['y', -1000]] as const) evidence.addCrash({ target, startedAtMs: 1, atMs, suspects: [{ requestId: target, parts, hasBegun: false }] }, 'peer')
    }
    const { sink, dependencies } = await runSilentStream({ a: silent, b: { steps: rest } }, { prepare })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a']])
  })
})

describe('the time to the first event', () => {
  it('counts from when the request was sent to the engine that goes on with it', async () => {
    const { dependencies } = await runSilentStream({ a: { afterMs: 20_000 }, b: { afterMs: 300, steps: [createEvent(1), createEvent(2), 'END'] } })
    expect(dependencies.durations.findFirstEventMs(ENGINES.name, { share: 0.5, speed: 1 })).toBeGreaterThanOrEqual(300)
  })
})

describe('a stream that moves while another engine is asked', () => {
  it('leaves no reservation behind when its caller leaves meanwhile', async () => {
    const prepare: SilentStreamOptions['prepare'] = ({ clock, table, client }) => {
      client.answerCopy = async () => Result.ok({ handle: 'copy', producedEvents: 1 })
      clock.startTimer(1245, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
    }
    const { dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { steps: [10_000, ...rest] }, c: { steps: rest } }, { prepare, holds: { answer: Result.ok('second'), afterMs: 600 }, route: { timeoutMs: 1290 } })
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })
})

describe('a silent stream whose engine leaves while another one is asked', () => {
  /** Lets the engine leave just after another one was asked; each copy takes as long as given. */
  const leave = (copyMs: (isLast: boolean) => number): SilentStreamOptions['prepare'] => ({ clock, table, client }) => {
    client.answerCopy = async ({ isLast }) => {
      await clock.sleep(copyMs(isLast))
      if (isLast) client.attempts[0]!.attempt.finish('lost')
      return Result.ok({ handle: 'copy', producedEvents: 1 })
    }
    clock.startTimer(1210, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
  }
  const copied: ScriptedAnswer = { steps: [createEvent(2), 'END'] }

  it('goes on with the answer that has begun there, and not from a copy that is not complete', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 100, steps: rest }, c: copied }, { prepare: leave(() => 1000) })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('goes on with the answer that has begun there when the copy is complete later', async () => {
    const { sink, dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 100, steps: [createEvent(2), 400, createEvent(3), 2000, 'END'] }, c: copied }, { prepare: leave(isLast => isLast ? 500 : 10), route: { maxGapMs: 1000, objectiveMs: 1000 } })
    expect([sink.endState, sink.text, dependencies.client.listTargets()]).toEqual(['complete', [1, 2, 3].map(createEvent).join(''), ['a', 'b']])
    expect([[...dependencies.loads.listOwnLoads()], dependencies.client.dropped]).toEqual([[], ['copy']])
  })

  it('counts the other engine among those that ran it, if it goes on from the copy', async () => {
    const { dependencies } = await runSilentStream({ a: SILENT_AFTER_START, b: { afterMs: 10_000, steps: rest }, c: { steps: [createEvent(2), 100, { error: 'lost' }] }, d: { steps: [createEvent(3), 'END'] } }, { prepare: leave(() => 10) })
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'c'])
  })
})

describe('a search for another engine that is not needed', () => {
  it('leaves the retry budget as it was', async () => {
    const countLeft = ({ budget }: TestDependencies): number => Array.from({ length: 100 }, () => budget.takeAttempt('engines', 'retry')).filter(isTaken => isTaken).length
    const left: number[] = []
    const prepare = (dependencies: TestDependencies): void => { dependencies.clock.startTimer(1500, () => left.push(countLeft(dependencies))) }
    const soon: ScriptedAnswer = { steps: [createEvent(1), 1240, createEvent(2), 1000, 'END'] }
    await runSilentStream({ a: soon, b: { steps: [createEvent(2), 'END'] } }, { prepare, holds: { answer: Result.ok('second'), afterMs: 600 } })
    await runSilentStream({ a: { steps: [createEvent(1), createEvent(2), 2000, 'END'] } }, { prepare })
    expect(left[0]).toBe(left[1])
  })
})
