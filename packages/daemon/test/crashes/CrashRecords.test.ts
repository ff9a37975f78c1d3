import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { CrashRecords } from '../../src/crashes/CrashRecords.js'

function createRecords (clock: VirtualClock): CrashRecords {
  return CrashRecords.create({ clock, audit: AuditTrail.create({ instance: 'i', incarnation: 'n' }), getRevision: () => 1 })
}

function addCrash (records: CrashRecords, clock: VirtualClock, target: string, ...fingerprints: string[]): void {
  const suspects = fingerprints.map(fingerprint => ({ fingerprint, runMs: 5 }))
  records.addCrash({ target, incarnation: '1', atMs: clock.nowMs(), suspects }, 'this instance')
}

function describeOpen (records: CrashRecords): string[] {
  return records.listOpenCrashes().map(({ target, atMs, suspects }) => `${target} at ${atMs}: ${suspects.map(({ fingerprint }) => fingerprint).join(' ')}`)
}

describe('CrashRecords', () => {
  it('merges what two instances observed of one crash', () => {
    const clock = VirtualClock.create()
    const [first, second] = [createRecords(clock), createRecords(clock)]
    addCrash(first, clock, 't1', 'a')
    addCrash(second, clock, 't1', 'b')
    first.mergeNews('second', second.createNews())
    second.mergeNews('first', first.createNews())
    expect(describeOpen(first)).toEqual(['t1 at 0: a b'])
    expect(describeOpen(second)).toEqual(['t1 at 0: b a'])
  })

  it('clears a request of earlier crashes once it was answered completely, at other instances as well', async () => {
    const clock = VirtualClock.create()
    const [first, second] = [createRecords(clock), createRecords(clock)]
    addCrash(first, clock, 't1', 'a', 'b')
    second.mergeNews('first', first.createNews())
    await clock.advance(100)
    second.recordCompletion('a')
    first.mergeNews('second', second.createNews())
    await clock.advance(100)
    addCrash(first, clock, 't2', 'a')
    expect(describeOpen(first)).toEqual(['t1 at 0: b', 't2 at 200: a'])
  })

  it('has no news without a crash, and forgets one after a quarter of an hour', async () => {
    const clock = VirtualClock.create()
    const records = createRecords(clock)
    records.recordCompletion('a')
    expect(records.createNews()).toEqual({})
    addCrash(records, clock, 't1', 'a')
    await clock.advance(900_000)
    expect(records.createNews()).toEqual({})
    expect(records.isEmpty()).toBe(true)
  })

  it('tells all crashes in successive messages of bounded size', async () => {
    const clock = VirtualClock.create()
    const records = createRecords(clock)
    for (let index = 0; index < 100; index++) addCrash(records, clock, `t${index}`, `f${index}`)
    await clock.advance(10_000)
    const messages = Array.from({ length: 4 }, () => records.createNews().targetCrashes ?? [])
    expect(messages.map(crashes => crashes.length)).toEqual([16, 16, 16, 16])
    expect(new Set(messages.flat().map(({ target }) => target)).size).toBe(64)
  })

  it('forgets crashes of single requests before those of one that crashes target after target', () => {
    const clock = VirtualClock.create()
    const records = createRecords(clock)
    for (let index = 0; index < 3; index++) addCrash(records, clock, `deadly${index}`, 'deadly')
    for (let index = 0; index < 100; index++) addCrash(records, clock, `t${index}`, `f${index}`)
    expect(describeOpen(records).filter(line => line.startsWith('deadly'))).toHaveLength(3)
  })
})
