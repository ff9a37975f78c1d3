import { describe, expect, it, vi } from 'vitest'
import { refuseRequest } from '../../src/requests/refuseRequest.js'
import { type RefusalReason } from '../../src/requests/RelayRequest.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'

const SIZE = { promptTokens: 2000, maxOutputTokens: 100, expectedOutputTokens: 100 }

interface TestOptions {
  readonly isLoadPartial?: boolean
  readonly reason?: RefusalReason
  readonly timeoutMs?: number
  /** Whether the engine runs the requests that wait; by default it does. */
  readonly isServing?: boolean
}

/** Keeps requests waiting for one engine that runs one request in 200 ms, then refuses three requests at one moment. */
async function doTest ({ isLoadPartial = true, reason = 'overloaded', timeoutMs = 60_000, isServing = true }: TestOptions = {}): Promise<{ retryTimes: number[], fields: unknown }> {
  const dependencies = createTestDependencies({ isLoadPartial: () => isLoadPartial })
  const recordDecision = vi.spyOn(dependencies.log, 'recordDecision')
  await measureRate(dependencies, isServing ? 7000 : 9000)
  const startMs = dependencies.clock.nowMs()
  const sinks: FakeSink[] = ['a', 'b', 'c'].map(workspace => {
    const { context, sink } = createContext(createRoute({ kind: 'stream', timeoutMs }), ENGINES, { size: SIZE, receivedAtMs: startMs })
    refuseRequest(dependencies, { ...context, workspace, deadlineAtMs: startMs + timeoutMs }, reason)
    return sink
  })
  return { retryTimes: sinks.map(({ refusal }) => Math.round(refusal?.retryAfterMs ?? -1)), fields: recordDecision.mock.lastCall?.[2] }
}

async function measureRate ({ clock, table, placer, admissionQueue }: TestDependencies, reservedTokens: number): Promise<void> {
  const engine = createTarget('a', { service: ENGINES.name })
  table.updateTarget(engine)
  placer.reserveTarget(engine, reservedTokens)
  const ask = (): void => {
    const requirements = { service: ENGINES, tokens: 2100, excludedTargets: new Set<string>() }
    admissionQueue.waitForTarget({ requirements, priority: 1, waitStartedAtMs: clock.nowMs(), maxWaitMs: 1000, signal: new AbortController().signal }).then(reservation => clock.startTimer(200, () => reservation?.release()))
  }
  ask()
  for (let count = 0; count < 30; count++) {
    ask()
    await clock.advance(200)
  }
}

describe('retry times of callers refused for want of capacity', () => {
  it('follow one another at the rate at which capacity opens, with their inputs in the log', async () => {
    const { retryTimes, fields } = await doTest()
    expect(retryTimes).toMatchInlineSnapshot(`
      [
        197,
        394,
        591,
      ]
    `)
    expect(fields).toMatchInlineSnapshot(`
      {
        "costAhead": 0,
        "costPerSecond": 10658,
        "expectedWaitMs": 0,
        "heldMs": 0,
        "reason": "overloaded",
        "retryAfterMs": 591.1041060906646,
        "retryKind": "slot",
        "route": "r",
        "slotMs": 591,
        "status": 503,
        "version": 1,
        "viewAgeMs": 0,
        "waiting": 0,
      }
    `)
  })

  it('are at most a third of what the caller has left', async () => {
    const { retryTimes } = await doTest({ timeoutMs: 900 })
    expect(retryTimes.every(timeMs => timeMs <= 300)).toBe(true)
  })

  it('are random where all loads are known', async () => {
    const { retryTimes, fields } = await doTest({ isLoadPartial: false })
    expect(retryTimes.every(timeMs => timeMs >= 500 && timeMs <= 2500)).toBe(true)
    expect(fields).not.toHaveProperty('costPerSecond')
  })

  it('are random while nothing is placed, so that no caller is told on a guess that it is too late', async () => {
    const { retryTimes } = await doTest({ isServing: false })
    expect(retryTimes.every(timeMs => timeMs >= 500 && timeMs <= 2500)).toBe(true)
  })

  it('do not depend on the queue for other reasons', async () => {
    const { retryTimes } = await doTest({ reason: 'noTarget' })
    expect(retryTimes.every(timeMs => timeMs >= 300 && timeMs <= 900)).toBe(true)
  })
})
