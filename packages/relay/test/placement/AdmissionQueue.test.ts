import { describe, expect, it } from 'vitest'
import { type TargetReservation } from '../../src/placement/TargetReservation.js'
import { createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'

interface TestRequest {
  readonly name: string
  readonly priority?: number
  readonly waitStartedAtMs?: number
  readonly maxWaitMs?: number
  readonly tokens?: number
  readonly cancelAtMs?: number
}

/** Fills the only engine, queues requests, releases a slot at 100 ms, and returns the order in which the requests were admitted. */
async function doTest (requests: readonly TestRequest[], releaseAtMs = 100): Promise<{ order: string[], refused: string[], dependencies: TestDependencies }> {
  const dependencies = createTestDependencies()
  dependencies.table.updateTarget(createTarget('a', { service: ENGINES.name }))
  const reservations = Array.from({ length: 4 }, () => dependencies.placer.reserveTarget(createTarget('a', { service: ENGINES.name }), 1000))
  const order: string[] = []
  const refused: string[] = []
  for (const { name, priority = 1, waitStartedAtMs = 0, maxWaitMs = 1000, tokens = 1000, cancelAtMs } of requests) {
    const abortController = new AbortController()
    if (cancelAtMs !== undefined) dependencies.clock.startTimer(cancelAtMs, () => abortController.abort())
    const requirements = { service: ENGINES, tokens, excludedTargets: new Set<string>() }
    dependencies.admissionQueue.waitForTarget({ requirements, priority, waitStartedAtMs, maxWaitMs, signal: abortController.signal }).then((reservation: TargetReservation | undefined) => {
      if (reservation === undefined) refused.push(name)
      else order.push(name)
      dependencies.clock.startTimer(10, () => reservation?.release())
    })
  }
  dependencies.clock.startTimer(releaseAtMs, () => reservations[0]?.release())
  await dependencies.clock.advance(3000)
  return { order, refused, dependencies }
}

describe('AdmissionQueue', () => {
  it('admits the highest priority first', async () => {
    expect((await doTest([{ name: 'low', priority: 2 }, { name: 'high', priority: 0 }])).order).toEqual(['high', 'low'])
  })

  it('admits the oldest request of a priority first', async () => {
    expect((await doTest([{ name: 'new', waitStartedAtMs: 5 }, { name: 'old', waitStartedAtMs: 1 }])).order).toEqual(['old', 'new'])
  })

  it('does not let a small request overtake a large one that is ahead of it', async () => {
    const { order } = await doTest([{ name: 'large', tokens: 6000, waitStartedAtMs: 1, maxWaitMs: 500 }, { name: 'small', tokens: 10, waitStartedAtMs: 2, maxWaitMs: 2000 }])
    expect(order).toEqual(['large', 'small'])
  })

  it('refuses a request after its maximum wait', async () => {
    expect((await doTest([{ name: 'short', maxWaitMs: 50 }])).refused).toEqual(['short'])
  })

  it('immediately refuses a request that may not wait', async () => {
    expect((await doTest([{ name: 'none', maxWaitMs: 0 }])).refused).toEqual(['none'])
  })

  it('removes a request whose caller has left', async () => {
    const { order, dependencies } = await doTest([{ name: 'left', cancelAtMs: 50 }, { name: 'stays', waitStartedAtMs: 9 }])
    expect(order).toEqual(['stays'])
    expect(dependencies.admissionQueue.countWaiting()).toBe(0)
  })
})
