import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RetryBudget } from '../../src/health/RetryBudget.js'
import { TargetHealth } from '../../src/health/TargetHealth.js'

interface Fixture {
  readonly clock: VirtualClock
  readonly health: TargetHealth
}

async function doTest (run: (fixture: Fixture) => void | Promise<void>, excludesSlow = true): Promise<string> {
  const clock = VirtualClock.create()
  const health = TargetHealth.create({ clock, slowIntervalMs: 60, excludesSlowTargets: excludesSlow, recordChange: () => {} })
  await run({ clock, health })
  return `${health.getConcurrencyLimit('t')} ${health.getState('t')}`
}

function observeIntervals (health: TargetHealth, intervalMs: number): void {
  for (let count = 0; count < 200; count++) health.observeTokenInterval('t', intervalMs)
}

describe('TargetHealth', () => {
  it('trusts a target that it does not know', async () => expect(await doTest(() => {})).toBe('Infinity healthy'))
  it('bears one failed request', async () => expect(await doTest(({ health }) => health.observeFailure('t', false))).toBe('Infinity healthy'))
  it('excludes an unreachable target at once', async () => expect(await doTest(({ health }) => health.observeFailure('t', true))).toBe('0 excluded'))
  it('excludes a target that answers no questions', async () => {
    expect(await doTest(({ health }) => { health.observeMissedPoll('t'); health.observeMissedPoll('t') })).toBe('0 excluded')
  })

  it('keeps a silent target out until it answers', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeMissedPoll('t')
      health.observeMissedPoll('t')
      await clock.advance(60_000)
    })).toBe('0 excluded')
  })

  it('excludes a target whose tokens come slowly', async () => expect(await doTest(({ health }) => observeIntervals(health, 100))).toBe('0 excluded'))
  it('keeps a slow target when told so', async () => expect(await doTest(({ health }) => observeIntervals(health, 100), false)).toBe('Infinity healthy'))
  it('does not take a single preemption for slowness', async () => {
    expect(await doTest(({ health }) => {
      observeIntervals(health, 40)
      health.observeTokenInterval('t', 9000)
    })).toBe('Infinity healthy')
  })

  it('tries an excluded target out with one request', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeFailure('t', true)
      await clock.advance(1001)
    })).toBe('1 readmitting')
  })

  it('readmits by steps', async () => {
    expect(await doTest(async ({ health, clock }) => {
      health.observeFailure('t', true)
      await clock.advance(1001)
      health.getConcurrencyLimit('t')
      for (let count = 0; count < 3; count++) health.observeSuccess('t')
    })).toBe('8 readmitting')
  })

  it('doubles the back-off when the trial fails', async () => {
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
  it('limits retries to a share of the successes', () => {
    const budget = RetryBudget.create()
    const taken = Array.from({ length: 100 }, () => budget.tryConsumeRetry('s')).filter(Boolean).length
    for (let count = 0; count < 100; count++) budget.observeSuccess('s')
    const later = Array.from({ length: 100 }, () => budget.tryConsumeRetry('s')).filter(Boolean).length
    expect([taken, later]).toEqual([10, 9])
  })
})
