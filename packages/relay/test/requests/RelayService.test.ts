import { describe, expect, it, vi } from 'vitest'
import { RouteTable } from '../../src/model/RouteTable.js'
import { type RelayRoute, type RouteKind } from '../../src/model/RelayConfiguration.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { EXIT_MARGIN_MS } from '../../src/drain/DrainSchedule.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'
import { type AnswerStep } from '../support/FakeTargetClient.js'

interface Options {
  readonly kind?: RouteKind
  readonly remainingMs?: number
  /** Length of a process pause that has just ended, in milliseconds. */
  readonly pauseMs?: number
  /** Time at which the view is current again after the pause, in milliseconds. */
  readonly viewFreshAtMs?: number
  readonly callerLeavesAtMs?: number
  readonly timeLeftMs?: number
  /** Output that the caller expects, in tokens. */
  readonly expectedOutputTokens?: number
  readonly route?: Partial<RelayRoute>
}

/** Serves one request with one target and returns what the caller received and when the request was sent to the target. */
async function doTest ({ kind = 'once', remainingMs = 1000, pauseMs = 0, viewFreshAtMs = 0, callerLeavesAtMs, timeLeftMs = Infinity, expectedOutputTokens, route }: Options): Promise<string> {
  const dependencies = createTestDependencies({ graceMs: timeLeftMs + EXIT_MARGIN_MS })
  if (timeLeftMs !== Infinity) dependencies.drain.start()
  dependencies.table.updateTarget(createTarget('a'))
  dependencies.client.scripts.set('a', [{ isEventStream: false, steps: ['hi', 'END'] }])
  const routes = RouteTable.create(createConfiguration([createRoute({ kind, ...route })]))
  const service = RelayService.create({
    dependencies,
    getRoutes: () => routes,
    getPauseMs: () => pauseMs,
    isViewStale: () => dependencies.clock.nowMs() < viewFreshAtMs
  })
  const sink = FakeSink.create()
  if (callerLeavesAtMs !== undefined) dependencies.clock.startTimer(callerLeavesAtMs, () => sink.leave())
  const serving = service.serve(createRequest({ remainingMs, receivedAtMs: dependencies.clock.nowMs(), size: expectedOutputTokens === undefined ? undefined : { promptTokens: 10, maxOutputTokens: 1000, expectedOutputTokens } }), sink)
  await dependencies.clock.advance(3000)
  await serving
  return `${sink.describe()}; sent ${dependencies.client.attempts.map(({ atMs }) => Math.round(atMs)).join() || 'never'}`
}

/** Time limits of a request that do not end it before the process stops. */
const LONG_TIME = { remainingMs: 10_000, route: { timeoutMs: 10_000 } }

describe('RelayService', () => {
  it('serves a request', async () => expect(await doTest({})).toBe('200 "hi" complete; sent 0'))
  it('refuses all requests after it has stopped', async () => expect(await doTest({ timeLeftMs: 0 })).toBe('503 stopping; sent never'))
  it('serves calls while it is stopping', async () => expect(await doTest({ timeLeftMs: 2000 })).toBe('200 "hi" complete; sent 0'))
  it('serves a stream that is expected to end before the process stops', async () => expect(await doTest({ kind: 'stream', timeLeftMs: 2000, expectedOutputTokens: 20, ...LONG_TIME })).toContain('200'))
  it('refuses a stream that is not expected to end before the process stops', async () => expect(await doTest({ kind: 'stream', timeLeftMs: 2000, expectedOutputTokens: 200, ...LONG_TIME })).toBe('503 stopping; sent never'))
})

describe('after a process pause', () => {
  it('does not run a non-idempotent request that may have timed out during the pause', async () => {
    expect(await doTest({ pauseMs: 4000 })).toBe('503 timeoutNotRun; sent never')
  })

  it('runs a request that has not timed out even if it arrived at the start of the pause', async () => {
    expect(await doTest({ pauseMs: 2000, remainingMs: 10_000, route: { timeoutMs: 10_000 } })).toBe('200 "hi" complete; sent 0')
  })

  it('runs idempotent requests', async () => expect(await doTest({ pauseMs: 4000, kind: 'idempotent' })).toBe('200 "hi" complete; sent 0'))

  it('waits until the view is current again', async () => {
    expect(await doTest({ pauseMs: 4000, kind: 'idempotent', viewFreshAtMs: 100 })).toBe('200 "hi" complete; sent 100')
  })

  it('limits the wait for a store that is unreachable', async () => {
    expect(await doTest({ pauseMs: 4000, kind: 'idempotent', viewFreshAtMs: 5000 })).toBe('200 "hi" complete; sent 300')
  })

  it('does not run a request whose caller left during the pause', async () => {
    expect(await doTest({ pauseMs: 4000, kind: 'idempotent', viewFreshAtMs: 100, callerLeavesAtMs: 20 })).toBe('nothing "" open; sent never')
  })
})

describe('a request for which the process has no memory', () => {
  /** Serves one request that is evicted at a time, and returns what the caller received. */
  async function evictAt (evictAtMs: number, steps: readonly AnswerStep[], { kind = 'idempotent', viewFreshAtMs = 0, isHeldBack = false }: Options & { readonly isHeldBack?: boolean } = {}): Promise<string> {
    const dependencies = createTestDependencies()
    vi.spyOn(dependencies.drain, 'shouldHoldBack').mockReturnValue(isHeldBack)
    dependencies.table.updateTarget(createTarget('a'))
    dependencies.client.scripts.set('a', [{ isEventStream: kind === 'stream', afterMs: 100, steps }])
    const routes = RouteTable.create(createConfiguration([createRoute({ kind, maxAttempts: 1, ...LONG_TIME.route })]))
    const service = RelayService.create({ dependencies, getRoutes: () => routes, getPauseMs: () => viewFreshAtMs, isViewStale: () => dependencies.clock.nowMs() < viewFreshAtMs })
    const sink = FakeSink.create()
    dependencies.clock.startTimer(evictAtMs, () => service.evictRequest(sink))
    const serving = service.serve(createRequest({ remainingMs: 10_000, receivedAtMs: dependencies.clock.nowMs() }), sink)
    await dependencies.clock.advance(3000)
    await serving
    return `${sink.describe()}; sent ${dependencies.client.attempts.length}`
  }

  it('is refused as not run before it was sent', async () => expect(await evictAt(20, ['hi', 'END'], { viewFreshAtMs: 100 })).toBe('503 overloaded; sent 0'))
  it('is not called refused after it was sent', async () => expect(await evictAt(50, ['hi', 'END'])).toBe('502 lost; sent 1'))
  it('is broken off after its answer has begun', async () => expect(await evictAt(500, ['id: 1\ndata: a\n\n', 600, 'END'], { kind: 'stream' })).toMatch(/^200 .* brokenOff; sent 1$/))
  it('ends at its target although its answer is held back', async () => expect(await evictAt(500, ['id: 1\ndata: a\n\n', 600, 'END'], { kind: 'stream', isHeldBack: true })).toBe('502 lost; sent 1'))
  it('is complete before', async () => expect(await evictAt(500, ['hi', 'END'])).toBe('200 "hi" complete; sent 1'))
})
