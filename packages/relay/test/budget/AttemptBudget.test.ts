import { VirtualClock } from '@fescuespoke/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AttemptBudget, type AttemptPurpose } from '../../src/budget/AttemptBudget.js'

interface Options {
  readonly requests?: number
  readonly instances?: number
  readonly purpose?: AttemptPurpose
  /** Time between the requests and the attempts, in milliseconds. */
  readonly laterMs?: number
  /** Age of the process, in milliseconds. */
  readonly ageMs?: number
}

const WINDOW_MS = 10_000

/** Returns how many attempts are granted with a ratio of 0.2 and 50 extra attempts. */
function doTest ({ requests = 0, instances = 1, purpose = 'retry', laterMs = 0, ageMs = WINDOW_MS }: Options): number {
  const clock = VirtualClock.create()
  const budget = AttemptBudget.create({ clock, limits: { ratio: 0.2, extra: 50, windowMs: WINDOW_MS }, countInstances: () => instances })
  clock.jump(ageMs)
  for (let count = 0; count < requests; count++) budget.recordRequest('s')
  clock.jump(laterMs)
  let granted = 0
  while (budget.takeAttempt('s', purpose)) granted++
  return granted
}

describe('AttemptBudget', () => {
  it('grants a share of the extra attempts to retries', () => expect(doTest({})).toBe(30))
  it('grants more attempts after more requests', () => expect(doTest({ requests: 100 })).toBe(42))
  it('reserves some attempts for moves', () => expect(doTest({ purpose: 'move' })).toBe(47))
  it('ignores requests older than the window', () => expect(doTest({ requests: 100, laterMs: 11_000 })).toBe(30))

  it('halves its share of the extra attempts while a previous process may have used some of them', () => expect(doTest({ ageMs: 0 })).toBe(15))
  it('grants no extra attempts while the fleet size is unknown', () => expect(doTest({ instances: Infinity, requests: 100 })).toBe(12))

  it('grants an attempt again that was returned, and no more than that', () => {
    const clock = VirtualClock.create()
    const budget = AttemptBudget.create({ clock, limits: { ratio: 0, extra: 10, windowMs: WINDOW_MS }, countInstances: () => 1 })
    clock.jump(WINDOW_MS)
    const countGranted = (): number => {
      let granted = 0
      while (budget.takeAttempt('s', 'retry')) granted++
      return granted
    }
    expect(countGranted()).toBe(6)
    clock.jump(WINDOW_MS / 2)
    budget.returnAttempt('s')
    expect(countGranted()).toBe(1)
    clock.jump(WINDOW_MS / 2)
    expect(countGranted()).toBe(5)
    budget.returnAttempt('other')
    expect(countGranted()).toBe(0)
  })

  it('stays within the limit when each instance uses its share, restarts and uses its share again', () => {
    fc.assert(fc.property(fc.array(fc.nat(200), { minLength: 1, maxLength: 12 }), requests => {
      const doOnce = (count: number, ageMs: number): number => doTest({ requests: count, instances: requests.length, ageMs })
      const granted = requests.reduce((sum, count) => sum + doOnce(count, WINDOW_MS) + doOnce(count, 0), 0)
      expect(granted).toBeLessThanOrEqual(0.2 * 2 * requests.reduce((sum, count) => sum + count, 0) + 50)
    }))
  })

  it('never lets all instances together exceed the limit', () => {
    fc.assert(fc.property(fc.array(fc.nat(200), { minLength: 1, maxLength: 12 }), requests => {
      const granted = requests.reduce((sum, count) => sum + doTest({ requests: count, instances: requests.length, purpose: 'move' }), 0)
      expect(granted).toBeLessThanOrEqual(0.2 * requests.reduce((sum, count) => sum + count, 0) + 50)
    }))
  })

  it('counts each service separately', () => {
    const clock = VirtualClock.create()
    const budget = AttemptBudget.create({ clock, limits: { ratio: 0, extra: 2, windowMs: WINDOW_MS }, countInstances: () => 1 })
    clock.jump(WINDOW_MS)
    expect([budget.takeAttempt('a', 'retry'), budget.takeAttempt('a', 'retry'), budget.takeAttempt('b', 'retry')]).toEqual([true, false, true])
  })
})
