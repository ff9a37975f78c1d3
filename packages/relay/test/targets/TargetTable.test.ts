import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { TargetTable } from '../../src/targets/TargetTable.js'
import { createTarget } from '../support/createTestDependencies.js'

interface Options {
  /** Time since the store was last in trouble, in milliseconds. */
  readonly timeSinceOutageMs?: number
}

/** Acts on a table with targets a and b, and returns the usable ones and what listeners saw. */
function doTest (act: (table: TargetTable, clock: VirtualClock) => void, { timeSinceOutageMs = 60_000 }: Options = {}): { usable: string[], changes: string[] } {
  const clock = VirtualClock.create()
  const table = TargetTable.create({ clock, getTimeSinceStoreOutageMs: () => timeSinceOutageMs })
  const changes: string[] = []
  table.updateTarget(createTarget('a'))
  table.updateTarget(createTarget('b'))
  table.addListener(({ target, state }, previous) => changes.push(`${target.name}: ${previous ?? 'unknown'} to ${state}`))
  act(table, clock)
  return { usable: table.listUsable('calls').map(({ target }) => target.name), changes }
}

describe('TargetTable', () => {
  it('uses ready targets', () => {
    expect(doTest(() => undefined)).toEqual({ usable: ['a', 'b'], changes: [] })
  })

  it('uses none that leaves', () => {
    expect(doTest(table => table.updateTarget(createTarget('a', { phase: 'leaving' })))).toEqual({ usable: ['b'], changes: ['a: ready to leaving'] })
  })

  it('believes a target that says that it leaves, also when an older entry comes after', () => {
    expect(doTest(table => { table.markLeaving(createTarget('a')); table.updateTarget(createTarget('a')) })).toEqual({ usable: ['b'], changes: ['a: ready to leaving'] })
  })

  it('uses a target again that left and has started anew', () => {
    expect(doTest(table => { table.markLeaving(createTarget('a')); table.updateTarget(createTarget('a', { startedAt: 2 })) }).usable).toEqual(['a', 'b'])
  })

  it('does not take a report of a former start for one of this start', () => {
    expect(doTest(table => table.markLeaving(createTarget('a', { startedAt: 0 }))).usable).toEqual(['a', 'b'])
  })

  it('takes a removed entry as gone while the store is well', () => {
    expect(doTest(table => table.handleRemoval('a'))).toEqual({ usable: ['b'], changes: ['a: ready to gone'] })
  })

  it('takes a removed entry as missing during trouble, and uses it only where no other is ready', () => {
    expect(doTest(table => table.handleRemoval('a'), { timeSinceOutageMs: 0 }).usable).toEqual(['b'])
    expect(doTest(table => { table.handleRemoval('a'); table.handleRemoval('b') }, { timeSinceOutageMs: 0 }).usable).toEqual(['a', 'b'])
  })

  it('takes a missing entry as gone after its time', () => {
    expect(doTest((table, clock) => {
      table.handleRemoval('a')
      clock.jump(1600)
      table.expireEntries()
    }, { timeSinceOutageMs: 0 }).changes).toEqual(['a: ready to missing', 'a: missing to gone'])
  })

  it('uses a missing target again when its entry is back', () => {
    expect(doTest(table => { table.handleRemoval('a'); table.updateTarget(createTarget('a')) }, { timeSinceOutageMs: 0 }).usable).toEqual(['a', 'b'])
  })

  it('takes a target that leaves as gone at once when its entry is removed, also during trouble', () => {
    expect(doTest(table => { table.updateTarget(createTarget('a', { phase: 'leaving' })); table.handleRemoval('a') }, { timeSinceOutageMs: 0 }).changes).toEqual(['a: ready to leaving', 'a: leaving to gone'])
  })

  it('tells of a target that started again under its name', () => {
    expect(doTest(table => table.updateTarget(createTarget('a', { startedAt: 2 }))).changes).toEqual(['a: ready to ready'])
  })

  it('ignores the removal of a target that it never knew', () => {
    expect(doTest(table => table.handleRemoval('z')).changes).toEqual([])
  })
})
