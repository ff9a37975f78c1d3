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
  /** Result of copies; by default they succeed. */
  readonly answerCopy?: (options: CopyOptions) => Promise<Result<RunCopy, CopyError>>
  /** Actions at clock readings in milliseconds. */
  readonly actions?: ReadonlyArray<readonly [number, (dependencies: TestDependencies, sink: FakeSink) => void]>
  /** Attempts that may be added independent of the number of requests. */
  readonly extra?: number
  /** Time for which the run is observed, in milliseconds. */
  readonly durationMs?: number
}

interface Outcome {
  readonly sink: FakeSink
  readonly dependencies: TestDependencies
}

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

/** Runs one stream with engines, of which the first one is the least used. */
async function doTest (scripts: Record<string, ScriptedAnswer[]>, options: Options = {}): Promise<Outcome> {
  const dependencies = createTestDependencies({ extra: options.extra })
  for (const [name, answers] of Object.entries(scripts)) {
    dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name }))
    dependencies.client.scripts.set(name, answers)
  }
  dependencies.loads.updatePeer('peer', new Map(Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])))
  dependencies.client.answerCopy = options.answerCopy ?? (async () => Result.ok({ handle: 'h', producedEvents: 0 }))
  const route = createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...options.route })
  const { context, sink, endController } = createContext(route, ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 }, ...options.request })
  dependencies.clock.startTimer(route.timeoutMs, () => endController.abort())
  for (const [atMs, action] of options.actions ?? []) dependencies.clock.startTimer(atMs, () => action(dependencies, sink))
  const running = runRelayedStream(dependencies, context)
  await dependencies.clock.advance(options.durationMs ?? 25_000)
  await running
  return { sink, dependencies }
}

const markLeaving = (name: string) => (dependencies: TestDependencies): void => { dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name, phase: 'leaving' })) }

const complete: ScriptedAnswer = { steps: [createEvent(1), createEvent(2), 'END'] }

describe('streams', () => {
  it('forward events', async () => {
    expect((await doTest({ a: [complete] })).sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`)
  })

  it('never forward an incomplete event when the stream is interrupted', async () => {
    const { sink } = await doTest({ a: [{ steps: [createEvent(1) + 'id: 2\nda', { error: 'lost' }] }] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1))} brokenOff`)
  })

  it('never look complete when they end in the middle of an event', async () => {
    const cut: ScriptedAnswer = { steps: [createEvent(1) + 'id: 2\nda', 'END'] }
    expect((await doTest({ a: [cut] })).sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1))} brokenOff`)
    expect((await doTest({ a: [{ steps: ['id: 1\nda', 'END'] }] })).sink.describe()).toBe('502 lost')
    const continued = await doTest({ a: [cut], b: [{ steps: [createEvent(2), 'END'] }] }, { route: { isResumable: true, maxAttempts: 2 } })
    expect(continued.sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`)
  })

  it('forward a body that is not an event stream completely', async () => {
    expect((await doTest({ a: [{ status: 404, steps: ['nothing here', 'END'] }] })).sink.describe()).toBe('404 "nothing here" complete')
    expect((await doTest({ a: [{ isEventStream: false, steps: ['one\n\ntwo', 'END'] }] })).sink.describe()).toBe('200 "one\\n\\ntwo" complete')
  })

  it('are refused immediately when there is no engine', async () => {
    expect((await doTest({})).sink.describe()).toBe('503 noTarget')
  })

  it('are sent to another engine when the first did not execute them', async () => {
    const { sink, dependencies } = await doTest({ a: [{ error: 'notExecuted' }], b: [complete] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('are sent to another engine without budget when the first was not reached', async () => {
    const { sink, dependencies } = await doTest({ a: [{ error: 'notSent' }], b: [complete] }, { extra: 0 })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('are not restarted when they may have run, even if no event was forwarded', async () => {
    const { sink, dependencies } = await doTest({ a: [{ error: 'lost' }], b: [complete] })
    expect(sink.describe()).toBe('502 lost')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('end at their timeout', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1)] }] }, { answerCopy: async () => Result.err({ reason: 'unreachable' }) })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1))} brokenOff`)
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('aborted')
  })

  it('wait for an engine with free capacity, and are refused when there is none in time', async () => {
    const { sink } = await doTest({ a: [complete] }, { actions: [[0, dependencies => dependencies.loads.addOwnLoad('a', { running: 4, tokens: 9000 })]], request: { receivedAtMs: 0 } })
    expect(sink.endState).toBe('complete')
    const full = await doTest({}, { actions: [] })
    expect(full.sink.refusal?.retryAfterMs).toBeGreaterThan(0)
  })
})

describe('resumable streams', () => {
  const route = { isResumable: true, maxAttempts: 2 }

  it('continue at another engine after the last complete event', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1) + 'id: 2', { error: 'lost' }] }], b: [{ steps: [createEvent(2), 'END'] }] }, { route })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`)
    expect(dependencies.client.attempts[1]?.options.lastEventId).toBe('1')
  })

  it('are interrupted when the attempts of the route are used up', async () => {
    const lost: ScriptedAnswer = { steps: [createEvent(1), { error: 'lost' }] }
    const { sink, dependencies } = await doTest({ a: [lost], b: [{ steps: [createEvent(2), { error: 'lost' }] }], c: [complete] }, { route })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('continue at another engine when the stream stalls', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1)] }], b: [{ steps: [createEvent(2), 'END'] }] }, { route })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('lost')
  })

  it('start after the last event that the caller received', async () => {
    const { dependencies } = await doTest({ a: [complete] }, { route, request: { lastEventId: '9' } })
    expect(dependencies.client.attempts[0]?.options.lastEventId).toBe('9')
  })
})

describe('streams that have started', () => {
  const interrupted: ScriptedAnswer = { steps: [createEvent(1), { error: 'lost' }] }
  const moved: ScriptedAnswer = { steps: [createEvent(1), 5000, createEvent(2), 'END'] }

  it('never look complete when the engine that goes on with them answers with a failure', async () => {
    for (const status of [500, 504, 404, 301]) {
      const { sink } = await doTest({ a: [interrupted], b: [{ status, steps: ['failed', 'END'] }] }, { route: { isResumable: true, maxAttempts: 2 } })
      expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1))} brokenOff`)
    }
  })

  it('never look complete when the engine to which they were moved answers with a failure', async () => {
    const { sink } = await doTest({ a: [moved], b: [{ status: 500, steps: ['failed', 'END'] }] }, { actions: [[1000, markLeaving('a')]] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1))} brokenOff`)
  })
})

describe('moves', () => {
  const long: ScriptedAnswer = { steps: [createEvent(1), 100, createEvent(2), 5000, createEvent(3), 'END'] }
  const remainder: ScriptedAnswer = { steps: [createEvent(3), 'END'] }

  it('continue a run from its memory at another engine when its engine shuts down', async () => {
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder] }, { actions: [[200, markLeaving('a')]] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2) + createEvent(3))} complete`)
    expect(dependencies.client.copies.map(({ to, isLast }) => [to.name, isLast])).toEqual([['b', false], ['b', true]])
    expect(dependencies.client.attempts[1]?.options).toMatchObject({ lastEventId: '2', continuation: { address: 'a:1', handle: 'h' } })
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('aborted')
  })

  const steady: ScriptedAnswer = { steps: [createEvent(1), 5000, createEvent(2), 'END'] }
  it.each([
    ['an answer to another request', { actions: [[200, ({ client }) => client.notifyNotices(createTarget('a', { service: ENGINES.name }), [{ kind: 'leaving' }])]] }, steady],
    ['the head of the stream itself', {}, { ...steady, notices: [{ kind: 'leaving' }] }],
    ['the news of a peer', { actions: [[200, ({ notices }) => notices.mergeLeavingNews('peer', [{ target: 'a', startedAtMs: 1, ageMs: 10 }])]] }, steady]
  ] as ReadonlyArray<[string, Options, ScriptedAnswer]>)('continue a run at another engine when its engine states its shutdown in %s', async (_name, options, first) => {
    const { sink, dependencies } = await doTest({ a: [first], b: [{ steps: [createEvent(2), 'END'] }] }, { ...options, route: { maxGapMs: 10_000, objectiveMs: 10_000 } })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`)
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('repeat copies until one is short, then stop the run', async () => {
    let slowCopies = 3
    const answerCopy = async (options: CopyOptions): Promise<Result<RunCopy, CopyError>> => {
      if (!options.isLast && slowCopies-- > 0) await waitSlowly(options)
      return Result.ok({ handle: 'h', producedEvents: 0 })
    }
    let clock: TestDependencies['clock'] | undefined
    const waitSlowly = async (_: CopyOptions): Promise<void> => { await clock?.sleep(200) }
    const { dependencies } = await doTest({ a: [long], b: [remainder] }, { answerCopy, actions: [[0, testDependencies => { clock = testDependencies.clock }], [200, markLeaving('a')]] })
    expect(dependencies.client.copies.map(({ isLast }) => isLast)).toEqual([false, false, false, false, true])
  })

  it('never stop a run while copies of other runs delay its own', async () => {
    let clock: TestDependencies['clock'] | undefined
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> => {
      if (isLast) return Result.err({ reason: 'unreachable' })
      await clock?.sleep(200)
      return Result.ok({ handle: 'h', producedEvents: 1 })
    }
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), 100, createEvent(2), 1900, { error: 'lost' }] }], b: [remainder] }, {
      answerCopy, actions: [[0, testDependencies => { clock = testDependencies.clock }], [200, markLeaving('a')]], route: { maxGapMs: 1000 }
    })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.copies.map(({ isLast }) => isLast)).toEqual([...Array.from({ length: 8 }, () => false), true])
  })

  it('try another engine when one has no memory left', async () => {
    const answerCopy = async ({ to }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      to.name === 'b' ? Result.err({ reason: 'noRoom' }) : Result.ok({ handle: 'h', producedEvents: 0 })
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder], c: [remainder] }, { answerCopy, actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'c'])
  })

  it('continue a run at its source when the last copy failed for lack of memory', async () => {
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      isLast ? Result.err({ reason: 'noRoom', handle: 'h' }) : Result.ok({ handle: 'h', producedEvents: 0 })
    const { sink, dependencies } = await doTest({ a: [long, remainder], b: [remainder] }, { answerCopy, actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'a'])
  })

  it('continue a run at its source when the destination refuses it', async () => {
    const { sink, dependencies } = await doTest({ a: [long, remainder], b: [{ error: 'notExecuted' }] }, { actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'a'])
  })

  /** Guards against TWICE: a copy of an engine's earlier refusal would be taken for its answer to the continuation, which carries the same id. */
  it('use a new connection for an engine to which the request was sent before', async () => {
    const { dependencies } = await doTest({ a: [long, remainder], b: [{ error: 'notExecuted' }] }, { actions: [[200, markLeaving('a')]] })
    expect(dependencies.client.attempts.map(({ target, options }) => [target, options.needsFreshConnection])).toEqual([['a', false], ['b', false], ['a', true]])
  })

  it('do not restart a run when both the destination and the source refuse it', async () => {
    const { sink, dependencies } = await doTest({ a: [long, { error: 'notSent' }], b: [{ error: 'notExecuted' }], c: [complete] }, { actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'a'])
  })

  it('never restart or deny a run that was stopped before its head arrived when both the destination and the source refuse it', async () => {
    const { sink, dependencies } = await doTest({ a: [{ afterMs: 5000 }, { error: 'notExecuted' }], b: [{ error: 'notExecuted' }], c: [complete] }, { actions: [[200, markLeaving('a')]], route: { objectiveMs: 10_000 } })
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'a'])
    expect(sink.describe()).toBe('502 lost')
  })

  it('include a run that started at an engine that was already shutting down', async () => {
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder] }, { actions: [[0, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('free the copy when the caller left during the move', async () => {
    let clock: TestDependencies['clock'] | undefined
    const answerCopy = async (): Promise<Result<RunCopy, CopyError>> => {
      await clock?.sleep(300)
      return Result.ok({ handle: 'h', producedEvents: 0 })
    }
    const actions: Options['actions'] = [[0, testDependencies => { clock = testDependencies.clock }], [200, markLeaving('a')], [900, (_, sink) => sink.leave()]]
    const { dependencies } = await doTest({ a: [{ steps: [createEvent(1)] }], b: [remainder] }, { answerCopy, actions, route: { maxGapMs: 1000 } })
    expect(dependencies.client.listTargets()).toEqual(['a'])
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('free the copy at a destination that has no room for the rest of the run', async () => {
    let copies = 0
    const answerCopy = async ({ to }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      to.name === 'b' && copies++ > 0 ? Result.err({ reason: 'noRoom' }) : Result.ok({ handle: `h-${to.name}`, producedEvents: 0 })
    const { sink, dependencies } = await doTest({ a: [long], b: [remainder], c: [remainder] }, { answerCopy, actions: [[200, markLeaving('a')]] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'c'])
    expect(dependencies.client.dropped).toEqual(['h-b'])
  })

  it('do not count as failures of the source', async () => {
    const { dependencies } = await doTest({ a: [long], b: [remainder] }, { actions: [[200, markLeaving('a')]], durationMs: 2000 })
    expect(dependencies.health.getFailureRate('a')).toBe(0)
  })

  it('report the memory at the destination at once, and none at the source', async () => {
    const loads: unknown[] = []
    await doTest({ a: [long], b: [{ steps: [5000, createEvent(3), 'END'] }] }, {
      actions: [[200, markLeaving('a')], [400, ({ loads: ownLoads }) => loads.push(ownLoads.getOwnLoad('a').heldTokens ?? 0, ownLoads.getOwnLoad('b').heldTokens)]]
    })
    expect(loads).toEqual([0, 1008])
  })

  it('continue a run from its first copy when the engine is gone before the last copy', async () => {
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      isLast ? Result.err({ reason: 'unreachable' }) : Result.ok({ handle: 'h', producedEvents: 1 })
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), 100, createEvent(2), 300, { error: 'lost' }] }], b: [remainder] }, { answerCopy, actions: [[200, markLeaving('a')]] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2) + createEvent(3))} complete`)
    expect(dependencies.client.attempts[1]?.options).toMatchObject({ lastEventId: '2', continuation: { address: 'a:1', handle: 'h' } })
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('never continue a run from a copy that was made of an earlier attempt', async () => {
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      isLast ? Result.err({ reason: 'unreachable' }) : Result.ok({ handle: 'h', producedEvents: 0 })
    const { sink, dependencies } = await doTest({ a: [{ afterMs: 300, error: 'notExecuted' }], b: [remainder], c: [{ steps: [createEvent(1), 100, { error: 'lost' }] }] }, { answerCopy, actions: [[100, markLeaving('a')]] })
    expect(dependencies.client.attempts.map(({ options }) => options.continuation)).toEqual([undefined, undefined])
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.dropped).toEqual(['h'])
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })

  it('do not continue a run from a copy while its engine may still execute it and wants no requests', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), 100, createEvent(2), 1900, { error: 'lost' }] }], b: [remainder] }, {
      answerCopy: async ({ isLast }) => isLast ? Result.err({ reason: 'unreachable' }) : Result.ok({ handle: 'h', producedEvents: 0 }),
      actions: [[200, markLeaving('a')], [1000, ({ client }) => client.notifyNotices(createTarget('a'), [{ kind: 'backoff', durationMs: 60_000, text: '60' }])]],
      route: { maxGapMs: 10_000, objectiveMs: 10_000 }
    })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('wait until an engine that wants no requests for a moment can copy the run', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), 5000] }], b: [{ steps: [createEvent(2), 'END'] }] }, {
      actions: [[200, ({ client }) => client.notifyNotices(createTarget('a'), [{ kind: 'leaving' }, { kind: 'backoff', durationMs: 500, text: '0.5' }])]],
      route: { maxGapMs: 10_000, objectiveMs: 10_000 }
    })
    expect(sink.endState).toBe('complete')
    expect([dependencies.client.listTargets(), dependencies.client.attempts[1]!.atMs >= 700]).toEqual([['a', 'b'], true])
  })

  it('do not continue a run from a copy while its engine may still execute it', async () => {
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      isLast ? Result.err({ reason: dependencies.clock.nowMs() < 400 ? 'unreachable' : 'busy' }) : Result.ok({ handle: 'h', producedEvents: 1 })
    const dependencies = { clock: { nowMs: () => 0 } }
    const { sink, dependencies: used } = await doTest({ a: [{ steps: [createEvent(1), 500, { error: 'lost' }] }], b: [remainder] }, {
      answerCopy, actions: [[0, own => { dependencies.clock = own.clock }], [200, markLeaving('a')]]
    })
    expect(sink.endState).toBe('brokenOff')
    expect(used.client.listTargets()).toEqual(['a'])
    expect([...used.loads.listOwnLoads()]).toEqual([])
  })

  /** Moves a run while an engine near the source holds the given memory and an engine in another zone is empty; returns the destination. */
  async function pickDestination (heldTokens: number): Promise<string | undefined> {
    const { dependencies } = await doTest({ a: [long] }, {
      actions: [[150, ({ table, loads, client }) => {
        for (const [name, availabilityZone] of [['near', 'z1'], ['far', 'z2']] as const) {
          table.updateTarget(createTarget(name, { service: ENGINES.name, availabilityZone }))
          client.scripts.set(name, [remainder])
        }
        loads.updatePeer('peer', new Map([['near', { running: 1, tokens: 9000, heldTokens }]]))
      }], [200, markLeaving('a')]]
    })
    return dependencies.client.listTargets()[1]
  }

  it('prefer an engine in the zone that has room for what the run holds now', async () => {
    expect(await pickDestination(8000)).toBe('near')
  })

  it('go to another zone when no engine in the zone has room', async () => {
    expect(await pickDestination(8500)).toBe('far')
  })

  it('include a run whose connection is silent', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1)] }], b: [{ steps: [createEvent(2), 'END'] }] })
    expect(sink.endState).toBe('complete')
    expect(dependencies.client.copies.map(({ isLast }) => isLast)).toEqual([false, true])
  })

  /** Moves a run whose answer ends with the connection, which the source closes regularly before it answers to the last copy. */
  async function moveUnframed (lastCopy: Result<RunCopy, CopyError>): Promise<Outcome> {
    return await doTest({ a: [{ isFramed: false, steps: [createEvent(1)] }], b: [{ steps: [createEvent(2), 'END'] }] }, {
      actions: [[10, ({ client, clock }) => {
        client.answerCopy = async ({ isLast }) => {
          if (!isLast) return Result.ok({ handle: 'h', producedEvents: 1 })
          client.attempts[0]!.attempt.finish('complete')
          await clock.sleep(20)
          return lastCopy
        }
      }], [20, markLeaving('a')]]
    })
  }

  it('are not taken for the end of an answer without a length when the source closes it before it answers to the copy', async () => {
    for (const lastCopy of [Result.ok<RunCopy, CopyError>({ handle: 'h', producedEvents: 1 }), Result.err<RunCopy, CopyError>({ reason: 'unreachable' })]) {
      const { sink } = await moveUnframed(lastCopy)
      expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`)
    }
  })

  it('leave an answer without a length complete that had ended before', async () => {
    const { sink, dependencies } = await moveUnframed(Result.err({ reason: 'noRun' }))
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1))} complete`)
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('end without a second attempt when the source cannot copy the run', async () => {
    const { dependencies } = await doTest({ a: [{ steps: [createEvent(1)] }], b: [remainder] }, { actions: [[200, markLeaving('b')]], answerCopy: async () => Result.err({ reason: 'noRun' }), durationMs: 30_000 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })
})
