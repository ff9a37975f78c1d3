import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type RelayRoute } from '../../src/model/RelayConfiguration.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { type CopyError, type CopyOptions, type RunCopy } from '../../src/targets/RelayTargetClient.js'
import { createContext, createRoute, createTarget, createTools, ENGINES, type TestTools } from '../support/createTools.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

interface Options {
  readonly route?: Partial<RelayRoute>
  readonly request?: Partial<RelayRequest>
  /** Answers copies; by default they succeed. */
  readonly answerCopy?: (options: CopyOptions) => Promise<Result<RunCopy, CopyError>>
  /** Acts at times of the clock. */
  readonly acts?: ReadonlyArray<readonly [number, (tools: TestTools, sink: FakeSink) => void]>
  /** Time in milliseconds for which the run is watched. */
  readonly watchMs?: number
}

interface Seen {
  readonly sink: FakeSink
  readonly tools: TestTools
}

const event = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

/** Runs one stream before engines, of which the first one named is the least used. */
async function doTest (scripts: Record<string, ScriptedAnswer[]>, options: Options = {}): Promise<Seen> {
  const tools = createTools()
  for (const [name, answers] of Object.entries(scripts)) {
    tools.table.observeTarget(createTarget(name, { service: ENGINES.name }))
    tools.client.scripts.set(name, answers)
  }
  tools.loads.observePeer('peer', new Map(Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])))
  tools.client.answerCopy = options.answerCopy ?? (async () => Result.ok({ handle: 'h', createdEvents: 0 }))
  const route = createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...options.route })
  const { context, sink, ending } = createContext(route, ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 }, ...options.request })
  tools.clock.startTimer(route.timeoutMs, () => ending.abort())
  for (const [atMs, act] of options.acts ?? []) tools.clock.startTimer(atMs, () => act(tools, sink))
  const running = runRelayedStream(tools, context)
  await tools.clock.advance(options.watchMs ?? 25_000)
  await running
  return { sink, tools }
}

const leave = (name: string) => (tools: TestTools): void => tools.table.observeTarget(createTarget(name, { service: ENGINES.name, phase: 'leaving' }))

const whole: ScriptedAnswer = { steps: [event(1), event(2), 'END'] }

describe('streams', () => {
  it('passes events on', async () => {
    expect((await doTest({ a: [whole] })).sink.describe()).toBe(`200 ${JSON.stringify(event(1) + event(2))} complete`)
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
    const { sink, tools } = await doTest({ a: [{ error: 'notExecuted' }], b: [whole] })
    expect(sink.end_).toBe('complete')
    expect(tools.client.listTargets()).toEqual(['a', 'b'])
  })

  it('is not started anew when it may have run, though no event was passed on', async () => {
    const { sink, tools } = await doTest({ a: [{ error: 'lost' }], b: [whole] })
    expect(sink.describe()).toBe('502 lost')
    expect(tools.client.listTargets()).toEqual(['a'])
  })

  it('ends at its timeout', async () => {
    const { sink, tools } = await doTest({ a: [{ steps: [event(1)] }] }, { answerCopy: async () => Result.err({ reason: 'unreachable' }) })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1))} brokenOff`)
    expect(tools.client.seen[0]?.attempt.ended).toBe('aborted')
  })

  it('waits for an engine with room, and is refused when there is none in time', async () => {
    const { sink } = await doTest({ a: [whole] }, { acts: [[0, tools => tools.loads.addOwn('a', { running: 4, tokens: 9000 })]], request: { receivedAtMs: 0 } })
    expect(sink.end_).toBe('complete')
    const full = await doTest({}, { acts: [] })
    expect(full.sink.refusal?.retryAfterMs).toBeGreaterThan(0)
  })
})

describe('resumable streams', () => {
  const route = { isResumable: true, maxAttempts: 2 }

  it('go on at another engine after the last whole event', async () => {
    const { sink, tools } = await doTest({ a: [{ steps: [event(1) + 'id: 2', { error: 'lost' }] }], b: [{ steps: [event(2), 'END'] }] }, { route })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1) + event(2))} complete`)
    expect(tools.client.seen[1]?.options.lastEventId).toBe('1')
  })

  it('break off when the attempts of the route are used up', async () => {
    const lost: ScriptedAnswer = { steps: [event(1), { error: 'lost' }] }
    const { sink, tools } = await doTest({ a: [lost], b: [{ steps: [event(2), { error: 'lost' }] }], c: [whole] }, { route })
    expect(sink.end_).toBe('brokenOff')
    expect(tools.client.listTargets()).toEqual(['a', 'b'])
  })

  it('go on elsewhere when the engine falls silent', async () => {
    const { sink, tools } = await doTest({ a: [{ steps: [event(1)] }], b: [{ steps: [event(2), 'END'] }] }, { route })
    expect(sink.end_).toBe('complete')
    expect(tools.client.seen[0]?.attempt.ended).toBe('lost')
  })

  it('keep to the last event that the caller has', async () => {
    const { tools } = await doTest({ a: [whole] }, { route, request: { lastEventId: '9' } })
    expect(tools.client.seen[0]?.options.lastEventId).toBe('9')
  })
})

describe('moves', () => {
  const long: ScriptedAnswer = { steps: [event(1), 100, event(2), 5000, event(3), 'END'] }
  const rest: ScriptedAnswer = { steps: [event(3), 'END'] }

  it('goes on from its own memory at another engine when its engine leaves', async () => {
    const { sink, tools } = await doTest({ a: [long], b: [rest] }, { acts: [[200, leave('a')]] })
    expect(sink.describe()).toBe(`200 ${JSON.stringify(event(1) + event(2) + event(3))} complete`)
    expect(tools.client.copies.map(({ to, isLast }) => [to.name, isLast])).toEqual([['b', false], ['b', true]])
    expect(tools.client.seen[1]?.options).toMatchObject({ lastEventId: '2', continuation: { address: 'a:1', handle: 'h' } })
    expect(tools.client.seen[0]?.attempt.ended).toBe('aborted')
  })

  it('copies again until a copy is short, then stops the run', async () => {
    let left = 3
    const answerCopy = async (options: CopyOptions): Promise<Result<RunCopy, CopyError>> => {
      if (!options.isLast && left-- > 0) await tick(options)
      return Result.ok({ handle: 'h', createdEvents: 0 })
    }
    let clock: TestTools['clock'] | undefined
    const tick = async (_: CopyOptions): Promise<void> => { await clock?.sleep(200) }
    const { tools } = await doTest({ a: [long], b: [rest] }, { answerCopy, acts: [[0, given => { clock = given.clock }], [200, leave('a')]] })
    expect(tools.client.copies.map(({ isLast }) => isLast)).toEqual([false, false, false, false, true])
  })

  it('tries another engine when one has no room', async () => {
    const answerCopy = async ({ to }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      to.name === 'b' ? Result.err({ reason: 'noRoom' }) : Result.ok({ handle: 'h', createdEvents: 0 })
    const { sink, tools } = await doTest({ a: [long], b: [rest], c: [rest] }, { answerCopy, acts: [[200, leave('a')]] })
    expect(sink.end_).toBe('complete')
    expect(tools.client.listTargets()).toEqual(['a', 'c'])
  })

  it('goes on at its source when the last copy found no room', async () => {
    const answerCopy = async ({ isLast }: CopyOptions): Promise<Result<RunCopy, CopyError>> =>
      isLast ? Result.err({ reason: 'noRoom', handle: 'h' }) : Result.ok({ handle: 'h', createdEvents: 0 })
    const { sink, tools } = await doTest({ a: [long, rest], b: [rest] }, { answerCopy, acts: [[200, leave('a')]] })
    expect(sink.end_).toBe('complete')
    expect(tools.client.listTargets()).toEqual(['a', 'a'])
  })

  it('goes on at its source when the destination refuses it', async () => {
    const { sink, tools } = await doTest({ a: [long, rest], b: [{ error: 'notExecuted' }] }, { acts: [[200, leave('a')]] })
    expect(sink.end_).toBe('complete')
    expect(tools.client.listTargets()).toEqual(['a', 'b', 'a'])
  })

  it('is not run anew when neither takes it', async () => {
    const { sink, tools } = await doTest({ a: [long, { error: 'notSent' }], b: [{ error: 'notExecuted' }], c: [whole] }, { acts: [[200, leave('a')]] })
    expect(sink.end_).toBe('brokenOff')
    expect(tools.client.listTargets()).toEqual(['a', 'b', 'a'])
  })

  it('moves a run that began at an engine that was leaving already', async () => {
    const { sink, tools } = await doTest({ a: [long], b: [rest] }, { acts: [[0, leave('a')]] })
    expect(sink.end_).toBe('complete')
    expect(tools.client.listTargets()).toEqual(['a', 'b'])
  })

  it('frees the copy when the caller left during the move', async () => {
    let clock: TestTools['clock'] | undefined
    const answerCopy = async (): Promise<Result<RunCopy, CopyError>> => {
      await clock?.sleep(300)
      return Result.ok({ handle: 'h', createdEvents: 0 })
    }
    const acts: Options['acts'] = [[0, given => { clock = given.clock }], [200, leave('a')], [900, (_, sink) => sink.leave()]]
    const { tools } = await doTest({ a: [{ steps: [event(1)] }], b: [rest] }, { answerCopy, acts, route: { maxGapMs: 1000 } })
    expect(tools.client.listTargets()).toEqual(['a'])
    expect([...tools.loads.listOwn()]).toEqual([])
  })

  it('rescues a run whose connection fell silent', async () => {
    const { sink, tools } = await doTest({ a: [{ steps: [event(1)] }], b: [{ steps: [event(2), 'END'] }] })
    expect(sink.end_).toBe('complete')
    expect(tools.client.copies.map(({ isLast }) => isLast)).toEqual([false, true])
  })

  it('never moves a run where engines cannot', async () => {
    const { tools } = await doTest({ a: [{ steps: [event(1)] }], b: [rest] }, { acts: [[200, leave('b')]], answerCopy: async () => Result.err({ reason: 'noRun' }), watchMs: 30_000 })
    expect(tools.client.listTargets()).toEqual(['a'])
  })
})
