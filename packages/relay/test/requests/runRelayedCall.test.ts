import { describe, expect, it } from 'vitest'
import { runRelayedCall } from '../../src/requests/runRelayedCall.js'
import { type RouteKind } from '../../src/model/RelayConfiguration.js'
import { CALLS, createContext, createRoute, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

interface Outcome {
  readonly sink: FakeSink
  readonly dependencies: TestDependencies
}

interface Options {
  readonly kind?: RouteKind
  readonly maxAttempts?: number
  readonly extra?: number
  /** Clock reading at which the deadline of the request is reached. */
  readonly deadlineMs?: number
  readonly callerLeavesAtMs?: number
}

/** Runs one call with targets a, b and c, of which a is the least used. */
async function doTest (scripts: Record<string, ScriptedAnswer[]>, options: Options = {}): Promise<Outcome> {
  const dependencies = createTestDependencies({ extra: options.extra })
  for (const [name, answers] of Object.entries(scripts)) {
    dependencies.table.updateTarget(createTarget(name))
    dependencies.client.scripts.set(name, answers)
  }
  Object.keys(scripts).forEach((name, index) => dependencies.loads.updatePeer('peer', new Map([...createLoads(scripts), [name, { running: index, tokens: 0 }]])))
  const route = createRoute({ kind: options.kind ?? 'idempotent', maxAttempts: options.maxAttempts ?? 2 })
  const { context, sink, endController } = createContext(route, CALLS)
  dependencies.clock.startTimer(options.deadlineMs ?? route.timeoutMs, () => endController.abort())
  if (options.callerLeavesAtMs !== undefined) dependencies.clock.startTimer(options.callerLeavesAtMs, () => sink.leave())
  const running = runRelayedCall(dependencies, context)
  await dependencies.clock.advance(2000)
  await running
  return { sink, dependencies }
}

function createLoads (scripts: Record<string, unknown>): Array<[string, { running: number, tokens: number }]> {
  return Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])
}

const good: ScriptedAnswer = { steps: ['he', 'llo', 'END'] }
const failed: ScriptedAnswer = { status: 500, steps: ['no', 'END'] }

/** Starts an answer that exceeds what is buffered of an answer. */
const LONG_START = 'x'.repeat(300_000)

describe('answers that exceed the buffer', () => {
  it('do not keep their connection after the deadline when bytes arrive without end', async () => {
    const bytes = Array.from({ length: 400 }, () => [10, 'x']).flat()
    const { sink, dependencies } = await doTest({ a: [{ steps: [LONG_START, ...bytes] }] })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.attempts[0]!.attempt.endState).toBe('aborted')
  })

  it('end at the deadline when no more bytes arrive', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [LONG_START] }] })
    expect(sink.endState).toBe('brokenOff')
    expect(dependencies.client.attempts[0]!.attempt.endState).toBe('aborted')
  })

  it('do not keep their connection when another target answers in their place', async () => {
    const { sink, dependencies } = await doTest({ a: [{ status: 500, steps: [LONG_START] }], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.attempts[0]!.attempt.endState).toBe('aborted')
  })

  it('are forwarded completely if they are failures and no attempt is left in the budget', async () => {
    const { sink, dependencies } = await doTest({ a: [{ status: 500, steps: [LONG_START, 'rest', 'END'] }], b: [good] }, { extra: 0 })
    expect([sink.status, sink.text === `${LONG_START}rest`, sink.endState]).toEqual([500, true, 'complete'])
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('are not reported as not executed if they are failures after which no other attempt succeeds', async () => {
    const { sink } = await doTest({ a: [{ status: 500, steps: [LONG_START, 'rest', 'END'] }], b: [{ error: 'notExecuted' }] })
    expect(sink.describe()).toBe('502 lost')
  })

  it('are replaced by the answer of another attempt if they are failures', async () => {
    const { sink, dependencies } = await doTest({ a: [{ status: 500, steps: [LONG_START, 'rest', 'END'] }], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('are forwarded completely', async () => {
    const { sink } = await doTest({ a: [{ steps: [LONG_START, 10, 'y', 'END'] }] })
    expect([sink.text.length, sink.endState]).toEqual([300_001, 'complete'])
  })
})

describe('idempotent calls', () => {
  it('forwards the answer of the least used target', async () => {
    const { sink, dependencies } = await doTest({ a: [good], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('repeats a failed call on another target', async () => {
    const { sink, dependencies } = await doTest({ a: [failed], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('repeats a failed call on another target when the first one left with its answer', async () => {
    const { sink, dependencies } = await doTest({ a: [{ ...failed, notices: [{ kind: 'leaving' }] }], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('forwards a failure when all attempts have failed', async () => {
    const { sink, dependencies } = await doTest({ a: [failed], b: [failed], c: [good] })
    expect(sink.describe()).toBe('500 "no" complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('forwards a failure when there is no other target', async () => {
    expect((await doTest({ a: [failed] })).sink.describe()).toBe('500 "no" complete')
  })

  it('forwards a failure when the budget is used up', async () => {
    const { sink, dependencies } = await doTest({ a: [failed], b: [good] }, { extra: 0 })
    expect(sink.describe()).toBe('500 "no" complete')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('tries other targets without budget while none was reached', async () => {
    const { sink, dependencies } = await doTest({ a: [{ error: 'notSent' }], b: [{ error: 'notSent' }], c: [good] }, { extra: 0 })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b', 'c'])
  })

  it('repeats a call whose answer was interrupted before the caller received any of it', async () => {
    const { sink } = await doTest({ a: [{ steps: ['he', { error: 'lost' }] }], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
  })

  it('hedges a slow call on a second target and forwards the first answer', async () => {
    const { sink, dependencies } = await doTest({ a: [{ afterMs: 900, ...good }], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.attempts.map(({ attempt }) => attempt.endState)).toEqual(['aborted', 'complete'])
  })

  it('rejects a success without a signature', async () => {
    const { sink } = await doTest({ a: [{ isSigned: false, ...good }], b: [good] })
    expect(sink.describe()).toBe('200 "hello" complete')
  })

  it('reports an unknown outcome when every answer was lost', async () => {
    const { sink } = await doTest({ a: [{ error: 'lost' }], b: [{ error: 'lost' }] })
    expect(sink.describe()).toBe('502 lost')
  })
})

describe('non-idempotent calls', () => {
  it.each([['lost'], ['aborted']] as const)('are never repeated after %s', async error => {
    const { sink, dependencies } = await doTest({ a: [{ error }], b: [good] }, { kind: 'once', maxAttempts: 3, deadlineMs: 500 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
    expect(sink.refusal?.status).not.toBe(503)
  })

  it('are never hedged when the target is slow', async () => {
    const { sink, dependencies } = await doTest({ a: [{ afterMs: 900, ...good }], b: [good] }, { kind: 'once', maxAttempts: 3 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
    expect(sink.describe()).toBe('200 "hello" complete')
  })

  it('forward a failure without a retry because they have run', async () => {
    const { sink, dependencies } = await doTest({ a: [failed], b: [good] }, { kind: 'once', maxAttempts: 3 })
    expect(sink.describe()).toBe('500 "no" complete')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it.each([['notSent'], ['notExecuted'], ['notHere']] as const)('are sent to another target after %s', async error => {
    const { sink, dependencies } = await doTest({ a: [{ error }], b: [good] }, { kind: 'once', maxAttempts: 1 })
    expect(sink.describe()).toBe('200 "hello" complete')
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
  })

  it('are refused as not executed when no target executed them', async () => {
    const { sink } = await doTest({ a: [{ error: 'notExecuted' }], b: [{ error: 'notSent' }] }, { kind: 'once', maxAttempts: 1 })
    expect(sink.describe()).toBe('503 notExecuted')
    expect(sink.refusal?.retryAfterMs).toBeGreaterThan(0)
  })

  it('are not reported as not executed when the deadline is reached during execution', async () => {
    const { sink } = await doTest({ a: [{ afterMs: 5000, ...good }] }, { kind: 'once' })
    expect(sink.describe()).toBe('504 timeout')
  })
})

describe('call endings', () => {
  it('refuses immediately when there is no target', async () => {
    const { sink, dependencies } = await doTest({})
    expect(sink.describe()).toBe('503 noTarget')
    expect(dependencies.client.attempts).toEqual([])
  })

  it('aborts the attempt when the caller has left', async () => {
    const { sink, dependencies } = await doTest({ a: [{ afterMs: 900, ...good }] }, { callerLeavesAtMs: 50, kind: 'once' })
    expect(sink.describe()).toBe('nothing "" open')
    expect(dependencies.client.attempts[0]?.attempt.endState).toBe('aborted')
  })

  it('releases the targets', async () => {
    const { dependencies } = await doTest({ a: [failed], b: [{ afterMs: 5000 }] })
    expect([...dependencies.loads.listOwnLoads()]).toEqual([])
  })
})
