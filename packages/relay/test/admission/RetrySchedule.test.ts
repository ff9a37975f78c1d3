import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type AdmissionItem } from '../../src/admission/AdmissionSubject.js'
import { RetrySchedule, type SlotLimits } from '../../src/admission/RetrySchedule.js'

const LIMITS: SlotLimits = { earliestMs: 1000, costPerMs: 2, remainingMs: 60_000 }

function createItem (change: Partial<AdmissionItem> = {}): AdmissionItem {
  return { pool: 'p', service: 'p', workspace: 'w', priority: 1, weight: 1, cost: 1000, rank: 0, ...change }
}

/** Refuses requests at one moment and returns the schedule and the times that their callers are told. */
function doTest (items: readonly AdmissionItem[], limits: Partial<SlotLimits> = {}): { clock: VirtualClock, schedule: RetrySchedule, told: string[] } {
  const clock = VirtualClock.create()
  const schedule = RetrySchedule.create({ clock, random: SeededRandom.create(1) })
  const told = items.map(item => {
    const { kind, retryAfterMs } = schedule.scheduleReturn(item, { ...LIMITS, ...limits })
    return `${kind} ${Math.round(retryAfterMs)}`
  })
  return { clock, schedule, told }
}

describe('RetrySchedule', () => {
  it('gives callers refused at one moment slots at the rate at which capacity opens, so that they do not return together', () => {
    expect(doTest([createItem(), createItem({ workspace: 'x' }), createItem({ cost: 500 }), createItem()]).told).toEqual(['slot 1000', 'slot 1500', 'slot 2000', 'slot 2250'])
  })

  it('does not put urgent callers behind less urgent ones, nor callers of other targets behind one another', () => {
    expect(doTest([createItem({ priority: 2 }), createItem({ priority: 0 }), createItem({ pool: 'q' })]).told).toEqual(['slot 1000', 'slot 1000', 'slot 1000'])
  })

  it('cuts the time to a third of what the caller has left, and spreads callers whose time is cut', () => {
    const times = doTest(Array.from({ length: 8 }, () => createItem()), { remainingMs: 2100, costPerMs: 20 }).told.map(text => Number(text.replace('cut ', '')))
    expect(times.every(timeMs => timeMs >= 525 && timeMs <= 700)).toBe(true)
    expect(new Set(times).size).toBeGreaterThan(4)
  })

  it('names the true time to a caller that cannot be served in its time, and keeps no slot for it', () => {
    expect(doTest([createItem(), createItem()], { earliestMs: 9000, remainingMs: 9000 }).told).toEqual(['tooLate 9000', 'tooLate 9000'])
  })

  it('recognizes a caller by workspace, priority, work and time', async () => {
    const { clock, schedule } = doTest([createItem({ rank: 7 })])
    const early = schedule.takeReturn(createItem())
    await clock.advance(1000)
    const others = [createItem({ workspace: 'x' }), createItem({ priority: 2 }), createItem({ cost: 999 }), createItem({ pool: 'q' })].map(item => schedule.takeReturn(item))
    const returning = schedule.takeReturn(createItem())
    expect([early, ...others, returning?.firstArrivedAtMs, schedule.takeReturn(createItem())]).toEqual([undefined, undefined, undefined, undefined, undefined, 7, undefined])
  })

  it('forgets a caller that has not returned a second after its time', async () => {
    const { clock, schedule } = doTest([createItem()])
    await clock.advance(2001)
    expect(schedule.takeReturn(createItem())).toBe(undefined)
  })

  it('lets a caller that returned early keep its slot, so that it does not wait at the end again', async () => {
    const { clock, schedule } = doTest([createItem(), createItem({ workspace: 'x' })], { remainingMs: 3300 })
    await clock.advance(1000)
    const slotAtMs = schedule.takeReturn(createItem())?.slotAtMs
    expect(schedule.scheduleReturn(createItem(), { ...LIMITS, earliestMs: 300, slotAtMs })).toMatchObject({ kind: 'slot', slotMs: 300 })
  })

  it('counts promised work before younger requests of the same priority and less urgent ones', () => {
    const { schedule } = doTest([createItem({ rank: 5 })])
    const sum = (change: Partial<AdmissionItem>, withinMs = 1000): number => schedule.sumPromisedCost(createItem(change), withinMs)
    expect([sum({ rank: 6 }), sum({ rank: 4 }), sum({ priority: 2, rank: 0 }), sum({ priority: 0, rank: 9 }), sum({ rank: 6 }, 999)]).toEqual([1000, 0, 1000, 0, 0])
  })

  it('drops its promises after a pause', () => {
    const { schedule } = doTest([createItem()])
    schedule.clear()
    expect(schedule.sumPromisedCost(createItem({ rank: 1 }), 5000)).toBe(0)
  })
})
