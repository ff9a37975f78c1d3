import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type RelayRoute } from '../../src/model/RelayConfiguration.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { type CopyError, type CopyOptions, type RunCopy } from '../../src/targets/RelayTargetClient.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

interface Options {
  readonly route?: Partial<RelayRoute>
  readonly request?: Partial<RelayRequest>
  /** Answers copies; by default they succeed. */
  readonly answerCopy?: (options: CopyOptions) => Promise<Result<RunCopy, CopyError>>
  /** Acts at times of the clock. */
  readonly actions?: ReadonlyArray<readonly [number, (dependencies: TestDependencies, sink: FakeSink) => void]>
  /** Time in milliseconds for which the run is watched. */
  readonly durationMs?: number
}

interface Outcome {
  readonly sink: FakeSink
  readonly dependencies: TestDependencies
}

const event = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

/** Runs one stream before engines, of which the first one named is the least used. */
async function doTest (scripts: Record<string, ScriptedAnswer[]>, options: Options = {}): Promise<Outcome> {
  const dependencies = createTestDependencies()
  for (const [name, answers] of Object.entries(scripts)) {
    dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name }))
    dependencies.client.scripts.set(name, answers)
  }
  dependencies.loads.updatePeer('peer', new Map(Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])))
  dependencies.client.answerCopy = options.answerCopy ?? (async () => Result.ok({ handle: 'h', createdEvents: 0 }))
  const route = createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...options.route })
  const { context, sink, ending } = createContext(route, ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 }, ...options.request })
  dependencies.clock.startTimer(route.timeoutMs, () => ending.abort())
  for (const [atMs, action] of options.actions ?? []) dependencies.clock.startTimer(atMs, () => action(dependencies, sink))
  const running = runRelayedStream(dependencies, context)
  await dependencies.clock.advance(options.durationMs ?? 25_000)
  await running
  return { sink, dependencies }
}

const markLeaving = (name: string) => (dependencies: TestDependencies): void => dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name, phase: 'leaving' }))

const complete: ScriptedAnswer = { steps: [event(1), event(2), 'END'] }

describe('streams', () => {
  it('passes events on', async () => {
    expect((await doTest({ a: [complete] })).sink.describe()).toBe(`200 ${JSON.stringify(event(1) + event(2))} complete`)
  })

  it('never passes part of an event on when the stream breaks', async () => {
    const { sink } = await doTest({ a: [{ steps: [event(1) + 'id: 2\nda', { error: 'lost' }] }] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1))} brokenOff`)
  })

  it('passes a body that is no stream of events on whole', async () => {
    expect((await doTest({ a: [{ status: 404, steps: ['nothing here', 'END'] }] })).sink.describe()).toBe('404 "nothing here" complete')
  })

  it('is refused at once when no engine is there', async () => {
    expect((await doTest({})).sink.describe()).toBe('503 noTarget')
  })

  it('goes to another engine when the first did not run it', async () => {
    const { sink, dependencies } = await doTest({ a: [{ error: 'notExecuted' }], b: [complete] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('is not started anew when it may have run, though no event was passed on', async () => {
    const { sink, dependencies } = await doTest({ a: [{ error: 'lost' }], b: [complete] })
    expect(sink.describe()).toBe('502 lost')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('ends at its timeout', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [event(1)] }] }, { answerCopy: async () => Result.err({ reason: 'unreachable' }) })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1))} brokenOff`)
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('aborted')
  })

  it('waits for an engine with room, and is refused when there is none in time', async () => {
    const { sink } = await doTest({ a: [complete] }, { actions: [[0, dependencies => dependencies.loads.addOwnLoad('a', { running: 4, tokens: 9000 })]], request: { receivedAtMs: 0 } })
    expect(sink.endState).toBe('complete')
    const full = await doTest({}, { actions: [] })
    expect(full.sink.refusal?.retryAfterMs).toBeGreaterThan(0)
  })
})

describe('resumable streams', () => {
  const route = { isResumable: true, maxAttempts: 2 }

  it('go on at another engine after the last whole event', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [event(1) + 'id: 2', { error: 'lost' }] }], b: [{ steps: [event(2), 'END'] }] }, { route })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1) + event(2))} complete`)
    expect(dependencies.client.attempts[1]?.options.lastEventId).toBe('1')
  })

  it('break off when the attempts of the route are used up', async () => {
    const lost: ScriptedAnswer = { steps: [event(1), { error: 'lost' }] }
    const { sink, dependencies } = await doTest({ a: [lost], b: [{ steps: [event(2), { error: 'lost' }] }], c: [complete] }, { route })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('go on elsewhere when the engine falls silent', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [event(1)] }], b: [{ steps: [event(2), 'END'] }] }, { route })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('lost')
  })

  it('keep to the last event that the caller has', async () => {
    const { dependencies } = await doTest({ a: [complete] }, { route, request: { lastEventId: '9' } })
    expect(dependencies.client.attempts[0]?.options.lastEventId).toBe('9')
  })
})

describe('moves', () => {
  const long: ScriptedAnswer = { steps: [event(1), 100, event(2), 5000, event(3), 'END'] }
  const remainder: ScriptedAnswer = { steps: [event(3), 'END'] }

  it('goes on from its own memory at another engine when its engine leaves', async () => {
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder] }, { actions: [[200, markLeaving('a')]] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1) + event(2) + event(3))} complete`)
    expect(dependencies.client.copies.map(({ to, isLast }) => [to.name, isLast])).toEqual([['b', false], ['b', true]])
    expect(dependencies.client.attempts[1]?.options).toMatchObject({ lastEventId: '2', continuation: { address: 'a:1', handle: 'h' } })
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('aborted')
  })

  it('copies again until a copy is short, then stops the run', async () => {
    let slowCopies = 3
    const answerCopy = async (options: CopyOptions): Promise<Result<RunCopy, CopyError>> => {
      if (!options.isLast && slowCopies-- > 0) await waitSlowly(options)
      return Result.ok({ handle: 'h', createdEvents: 0 })
    }
    let clock: TestDependencies['clock'] | undefined
    const waitSlowly = async (_: CopyOptions): Promise<void> => { await clock?.sleep(200) }
    const { dependencies } = await doTest({ a: [long], b: [remainder] }, { answerCopy, actions: [[0, given => { clock = given.clock }], [200, markLeaving('a')]] })
    expect(dependencies.client.copies.map(({ isLast }) => isLast)).toEqual([false, false, false, false, true])
  })

  it('tries another engine when one has no room', async () => {
    const answerCopy = async ({ to }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      to.name === 'b' ? Result.err({ reason: 'noRoom' }) : Result.ok({ handle: 'h', createdEvents: 0 })
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder], c: [remainder] }, { answerCopy, actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'c'])
  })

  it('goes on at its source when the last copy found no room', async () => {
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      isLast ? Result.err({ reason: 'noRoom', handle: 'h' }) : Result.ok({ handle: 'h', createdEvents: 0 })
    const { sink, dependencies } = await doTest({ a: [long, remainder], b: [remainder] }, { answerCopy, actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'a'])
  })

  it('goes on at its source when the destination refuses it', async () => {
    const { sink, dependencies } = await doTest({ a: [long, remainder], b: [{ error: 'notExecuted' }] }, { actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'a'])
  })

  it('is not run anew when neither takes it', async () => {
    const { sink, dependencies } = await doTest({ a: [long, { error: 'notSent' }], b: [{ error: 'notExecuted' }], c: [complete] }, { actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'a'])
  })

  it('moves a run that began at an engine that was leaving already', async () => {
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder] }, { actions: [[0, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('frees the copy when the caller left during the move', async () => {
    let clock: TestDependencies['clock'] | undefined
    const answerCopy = async (): Promise<Result<RunCopy, CopyError>> => {
      await clock?.sleep(300)
      return Result.ok({ handle: 'h', createdEvents: 0 })
    }
    const actions: Options['actions'] = [[0, given => { clock = given.clock }], [200, markLeaving('a')], [900, (_, sink) => sink.leave()]]
    const { dependencies } = await doTest({ a: [{ steps: [event(1)] }], b: [remainder] }, { answerCopy, actions, route: { maxGapMs: 1000 } })
    expect(dependencies.client.listTargets()).toEqual(['a'])
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('rescues a run whose connection fell silent', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [event(1)] }], b: [{ steps: [event(2), 'END'] }] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.copies.map(({ isLast }) => isLast)).toEqual([false, true])
  })

  it('never moves a run where engines cannot', async () => {
    const { dependencies } = await doTest({ a: [{ steps: [event(1)] }], b: [remainder] }, { actions: [[200, markLeaving('b')]], answerCopy: async () => Result.err({ reason: 'noRun' }), durationMs: 30_000 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })
})
