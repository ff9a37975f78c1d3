import { describe, expect, it } from 'vitest'
import { type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedCall } from '../../src/requests/runRelayedCall.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { CALLS, createContext, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

interface Outcome {
  readonly sink: FakeSink
  /** Targets that got the request, in order. */
  readonly targets: readonly string[]
  /** Time until the caller had its final answer, in milliseconds. */
  readonly heldMs: number
}

const RUNNERS = { call: runRelayedCall, stream: runRelayedStream }
const SERVICES: Record<keyof typeof RUNNERS, ServiceProfile> = { call: CALLS, stream: ENGINES }

const good: ScriptedAnswer = { steps: ['id: 1\ndata: d\n\n', 'END'] }
const failed: ScriptedAnswer = { status: 500, steps: ['no', 'END'] }

/**
 * Runs one request through one of several instances before targets a, b and so on, with the limits that they have named. This
 * instance has used its turn.
 */
async function doTest (kind: keyof typeof RUNNERS, limits: ReadonlyArray<number | 'none'>, { instanceCount = 4, answers = [good] }: { instanceCount?: number, answers?: ScriptedAnswer[] } = {}): Promise<Outcome> {
  const dependencies = createTestDependencies({ instanceCount })
  const { clock, client, table } = dependencies
  for (const [index, limit] of limits.entries()) {
    const target = createTarget('abc'[index]!, { service: SERVICES[kind].name })
    table.updateTarget(target)
    client.scripts.set(target.name, [...answers])
    dependencies.limits.recordAnswer(target, limit, 0)
    dependencies.limits.recordRequest(target)
  }
  const { context, sink } = createContext(createRoute({ kind: kind === 'call' ? 'idempotent' : 'stream', timeoutMs: 10_000, objectiveMs: 1000 }), SERVICES[kind])
  let endedAtMs = Infinity
  const running = RUNNERS[kind](dependencies, context).then(() => { endedAtMs = clock.nowMs() })
  await clock.advance(10_000)
  await running
  return { sink, targets: client.listTargets(), heldMs: endedAtMs }
}

describe('requests to a service with limited targets', () => {
  it.each(['call', 'stream'] as const)('go to a target without a limit at once (%s)', async kind => {
    const { sink, targets, heldMs } = await doTest(kind, [0.5, 'none'])
    expect([sink.status, targets, heldMs]).toEqual([200, ['b'], 0])
  })

  it.each(['call', 'stream'] as const)('are refused at once when no turn comes in time (%s)', async kind => {
    const { sink, targets, heldMs } = await doTest(kind, [0.5, 0.5])
    expect([sink.describe(), targets, heldMs]).toEqual(['503 limited', [], 0])
  })

  it('are told to return when there is a turn again', async () => {
    const { sink } = await doTest('call', [2, 1])
    expect(sink.refusal?.retryAfterMs).toBeGreaterThanOrEqual(2000)
    expect(sink.refusal?.retryAfterMs).toBeLessThanOrEqual(10_000 / 3)
  })

  it('are told to return later while it is not known how many instances share the limit', async () => {
    const { sink } = await doTest('call', [2], { instanceCount: Infinity })
    expect([sink.describe(), (sink.refusal?.retryAfterMs ?? 0) >= 1000]).toEqual(['503 limited', true])
  })

  it('wait for a turn that comes in time (stream)', async () => {
    const { sink, targets, heldMs } = await doTest('stream', [10])
    expect([sink.status, targets, Math.round(heldMs)]).toEqual([200, ['a'], 400])
  })

  it('are not repeated at a target that has no turn for them', async () => {
    const { sink, targets } = await doTest('call', [0.5, 'none'], { answers: [failed] })
    expect([sink.status, targets]).toEqual([500, ['b']])
  })
})
