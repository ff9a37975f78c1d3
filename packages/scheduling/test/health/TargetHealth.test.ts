import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RetryBudget } from '../../src/health/RetryBudget.js'
import { TargetHealth } from '../../src/health/TargetHealth.js'

interface Fixture {
  readonly clock: VirtualClock
  readonly health: TargetHealth
}

async function doTest (run: (fixture: Fixture) => void | Promise<void>, excludesSlowTargets = true): Promise<string> {
  const clock = VirtualClock.create()
  const health = TargetHealth.create({ clock, slowIntervalMs: 60, excludesSlowTargets, recordChange: () => {} })
  await run({ clock, health })
  return `${health.getConcurrencyLimit('t')} ${health.getState('t')}`
}

function observeIntervals (health: TargetHealth, intervalMs: number): void {
  for (let count = 0; count < 200; count++) health.observeTokenInterval('t', intervalMs)
}

describe('TargetHealth', () => {
  it('treats a target without observations as healthy', async () => expect(await doTest(() => {})).toBe('Infinity healthy'))
  it('tolerates one failed request', async () => expect(await doTest(({ health }) => health.observeFailure('t', false))).toBe('Infinity healthy'))
  it('excludes an unreachable target immediately', async () => expect(await doTest(({ health }) => health.observeFailure('t', true))).toBe('0 excluded'))
  it('excludes a target that does not answer state requests', async () => {
    expect(await doTest(({ health }) => { health.observeMissedPoll('t'); health.observeMissedPoll('t') })).toBe('0 excluded')
  })

  it('keeps a target excluded until it answers a state request', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeMissedPoll('t')
      health.observeMissedPoll('t')
      await clock.advance(60_000)
    })).toBe('0 excluded')
  })

  it('excludes a target whose token interval is too long', async () => expect(await doTest(({ health }) => observeIntervals(health, 100))).toBe('0 excluded'))
  it('does not exclude slow targets if this is disabled', async () => expect(await doTest(({ health }) => observeIntervals(health, 100), false)).toBe('Infinity healthy'))
  it('does not treat a single preemption as slowness', async () => {
    expect(await doTest(({ health }) => {
      observeIntervals(health, 40)
      health.observeTokenInterval('t', 9000)
    })).toBe('Infinity healthy')
  })

  it('readmits an excluded target with one request at first', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeFailure('t', true)
      await clock.advance(1001)
    })).toBe('1 readmitting')
  })

  it('doubles the concurrency limit with each success during readmission', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeFailure('t', true)
      await clock.advance(1001)
      health.getConcurrencyLimit('t')
      for (let count = 0; count < 3; count++) health.observeSuccess('t')
    })).toBe('8 readmitting')
  })

  it('doubles the back-off when a request fails during readmission', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeFailure('t', true)
      await clock.advance(1001)
      health.getConcurrencyLimit('t')
      health.observeFailure('t', false)
      await clock.advance(1500)
    })).toBe('0 excluded')
  })
})

describe('RetryBudget', () => {
  it('limits retries to a fraction of the successes', () => {
    const budget = RetryBudget.create()
    const taken = Array.from({ length: 100 }, () => budget.tryConsumeRetry('s')).filter(Boolean).length
    for (let count = 0; count < 100; count++) budget.observeSuccess('s')
    const later = Array.from({ length: 100 }, () => budget.tryConsumeRetry('s')).filter(Boolean).length
    expect([taken, later]).toEqual([10, 9])
  })
})
