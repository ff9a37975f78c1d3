import { describe, expect, it } from 'vitest'
import { type RouteKind } from '../../src/model/RelayConfiguration.js'
import { type GenerationSize } from '../../src/requests/RelayRequest.js'
import { createRequest, createRoute, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'

const GRACE_MS = 8000

/** Time per token of the generations that ended before, in milliseconds. */
const TOKEN_MS = 10

interface Options {
  readonly kind?: RouteKind
  /** Time for which the caller waits, in milliseconds. */
  readonly remainingMs?: number
  readonly size?: GenerationSize
  readonly hasHistory?: boolean
  /** Duration of one call of the history, in milliseconds, and the number of all. */
  readonly longCallMs?: number
  readonly calls?: number
  /** Duration of some short streams of the history, in milliseconds; by default there are no short streams. */
  readonly pauseMs?: number
}

const SHORT: GenerationSize = { promptTokens: 10, maxOutputTokens: 40 }
const LONG: GenerationSize = { promptTokens: 10, maxOutputTokens: 2000, expectedOutputTokens: 20 }

function recordShortStreams ({ durations }: TestDependencies, pauseMs: number): void {
  for (let index = 0; index < 40; index++) durations.recordGeneration(ENGINES.name, { size: SHORT, tokens: 8, firstEventMs: 200, durationMs: index % 10 === 0 ? pauseMs : 80 })
}

function createHistory ({ durations, generationTimes }: TestDependencies, longCallMs: number, calls: number): void {
  for (const kind of ['idempotent', 'once'] as const) for (let index = 0; index < calls; index++) durations.recordCall(ENGINES.name, kind, index === 0 ? longCallMs : 300)
  for (let index = 0; index < 40; index++) {
    generationTimes.recordGeneration(ENGINES.name, 100, 100 * TOKEN_MS)
    durations.recordGeneration(ENGINES.name, { size: { promptTokens: 10, maxOutputTokens: 2000, expectedOutputTokens: index % 8 === 0 ? 10 : 100 }, tokens: 100, firstEventMs: 200, durationMs: 100 * TOKEN_MS })
  }
}

/** Returns the seconds of a drain at which a request may be sent; requests are checked each half second. */
async function doTest ({ kind = 'stream', remainingMs = 60_000, size, hasHistory = true, longCallMs = 300, calls = 40, pauseMs }: Options): Promise<string> {
  const dependencies = createTestDependencies({ graceMs: GRACE_MS })
  const { clock, drain } = dependencies
  if (hasHistory) createHistory(dependencies, longCallMs, calls)
  if (pauseMs !== undefined) recordShortStreams(dependencies, pauseMs)
  drain.start()
  const sentAt: number[] = []
  for (let elapsedMs = 0; elapsedMs < GRACE_MS; elapsedMs += 500) {
    const isSent = drain.maySend({ request: createRequest({ size }), route: createRoute({ kind }), service: ENGINES, deadlineAtMs: clock.nowMs() + remainingMs })
    if (isSent) sentAt.push(elapsedMs / 1000)
    await clock.advance(500)
  }
  return sentAt.join(' ')
}

describe('a stopping instance', () => {
  it('sends streams with a low estimate and a high maximum only at first', async () => {
    expect(await doTest({ size: LONG })).toMatchInlineSnapshot('"0 0.5 1 1.5 2"')
  })

  it('sends short streams for as long as the slowest earlier ones would end in time', async () => {
    expect(await doTest({ size: SHORT })).toMatchInlineSnapshot('"0 0.5 1 1.5 2 2.5 3 3.5 4 4.5 5 5.5 6 6.5"')
  })

  it('sends short streams only for as long as they would end in time although their engine falls silent as long as it did before', async () => {
    expect([await doTest({ size: SHORT, pauseMs: 80 }), await doTest({ size: SHORT, pauseMs: 3000 })]).toMatchInlineSnapshot(`
      [
        "0 0.5 1 1.5 2 2.5 3 3.5 4 4.5 5 5.5 6 6.5",
        "0 0.5 1 1.5 2 2.5 3 3.5",
      ]
    `)
  })

  it('sends streams by assumed times at first while none has ended', async () => {
    expect(await doTest({ size: SHORT, hasHistory: false })).toMatchInlineSnapshot('"0 0.5 1 1.5 2"')
  })

  it('sends streams without sizes at first by the time of others, and later only if their own time is over before its end', async () => {
    expect([await doTest({}), await doTest({ hasHistory: false }), await doTest({ remainingMs: 5000, hasHistory: false })]).toMatchInlineSnapshot(`
      [
        "0 0.5 1 1.5 2",
        "",
        "0 0.5 1 1.5 2",
      ]
    `)
  })

  it('sends calls that may last long by the time of earlier ones', async () => {
    expect([await doTest({ kind: 'once' }), await doTest({ kind: 'idempotent', hasHistory: false })]).toMatchInlineSnapshot(`
      [
        "0 0.5 1 1.5 2 2.5 3 3.5 4 4.5 5 5.5 6 6.5 7",
        "0 0.5 1 1.5 2",
      ]
    `)
  })

  it('sends calls that their callers may repeat for as long as nine of ten would end in time, although the longest would not', async () => {
    expect(await doTest({ kind: 'idempotent', longCallMs: 6000 })).toMatchInlineSnapshot('"0 0.5 1 1.5 2 2.5 3 3.5 4 4.5 5 5.5 6 6.5 7"')
  })

  it('sends calls that may run once for as long as nearly all would end in time, although the longest would not', async () => {
    expect([await doTest({ kind: 'once', longCallMs: 6000 }), await doTest({ kind: 'once', longCallMs: 6000, calls: 100 })]).toMatchInlineSnapshot(`
      [
        "0",
        "0 0.5 1 1.5 2 2.5 3 3.5 4 4.5 5 5.5 6 6.5 7",
      ]
    `)
  })

  it('sends calls whose own time is over before its end', async () => {
    expect(await doTest({ kind: 'once', remainingMs: 1000, hasHistory: false })).toMatchInlineSnapshot('"0 0.5 1 1.5 2 2.5 3 3.5 4 4.5 5 5.5 6 6.5"')
  })

  it('cuts no stream before its own time is over that it has sent for that reason, however late it runs later (LOST)', async () => {
    const { drain, clock } = createTestDependencies({ graceMs: GRACE_MS })
    drain.start()
    await clock.advance(4000)
    const isSent = (remainingMs: number): boolean => drain.maySend({ request: createRequest({}), route: createRoute({ kind: 'stream' }), service: ENGINES, deadlineAtMs: clock.nowMs() + remainingMs })
    const sentMs = Array.from({ length: 40 }, (_, index) => index * 100).filter(isSent)
    drain.schedule.recordLateness(5000)
    expect([sentMs.length > 0, sentMs.filter(remainingMs => remainingMs > drain.getTimeLeftMs())]).toEqual([true, []])
  })

  it('holds short streams back only while its end may come before their own time is over', async () => {
    const dependencies = createTestDependencies({ graceMs: GRACE_MS })
    const { drain, clock } = dependencies
    createHistory(dependencies, 300, 40)
    drain.start()
    const isHeldBack = (remainingMs: number): boolean => drain.shouldHoldBack({ request: createRequest({ size: SHORT }), route: createRoute({ kind: 'stream' }), service: ENGINES, deadlineAtMs: clock.nowMs() + remainingMs })
    const atStart = isHeldBack(6000)
    await clock.advance(3000)
    expect([atStart, isHeldBack(6000), isHeldBack(3000)]).toEqual([false, true, false])
  })

  it('sends everything before its drain, and nothing after the end', async () => {
    const { drain, clock } = createTestDependencies({ graceMs: GRACE_MS })
    const subject = { request: createRequest({}), route: createRoute({ kind: 'stream' }), service: ENGINES, deadlineAtMs: clock.nowMs() + 60_000 }
    const isSentBefore = drain.maySend(subject)
    drain.end()
    expect([isSentBefore, drain.maySend(subject)]).toEqual([true, false])
  })
})
