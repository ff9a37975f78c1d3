import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { TargetTable } from '../../src/targets/TargetTable.js'
import { VersionHistory } from '../../src/versions/VersionHistory.js'
import { createTarget } from '../support/createTestDependencies.js'

interface TestHistory {
  readonly history: VersionHistory
  readonly table: TargetTable
  readonly clock: VirtualClock
  isViewStale: boolean
}

const PERIOD_MS = 30_000

/** Acts on a history with one target of v1 and describes what it observed in the last period. */
async function doTest (act: (own: TestHistory) => Promise<void> | void): Promise<string> {
  const clock = VirtualClock.create()
  const table = TargetTable.create({ clock, getTimeSinceStoreOutageMs: () => 60_000 })
  const own: TestHistory = { clock, table, isViewStale: false, history: VersionHistory.create({ clock, isViewStale: () => own.isViewStale }) }
  table.addListener(tracked => own.history.recordTarget(tracked))
  table.updateTarget(createTarget('a', { softwareVersion: 'v1' }))
  await act(own)
  const { origins, isComplete } = own.history.getObserved(['calls'], PERIOD_MS)
  return `${origins.map(({ softwareVersion }) => softwareVersion ?? 'none').join()} ${isComplete ? 'complete' : 'incomplete'}`
}

describe('VersionHistory', () => {
  it('is not complete right after the start', async () => expect(await doTest(() => undefined)).toBe('v1 incomplete'))
  it('is complete after a whole period', async () => expect(await doTest(async ({ clock }) => { await clock.advance(PERIOD_MS) })).toBe('v1 complete'))

  it('starts again after a pause', async () => {
    expect(await doTest(async ({ clock, history }) => { await clock.advance(PERIOD_MS); history.restart(); await clock.advance(PERIOD_MS - 1) })).toBe('v1 incomplete')
  })

  it('starts again when the view was stale at a check', async () => {
    expect(await doTest(async own => {
      await own.clock.advance(PERIOD_MS)
      own.isViewStale = true
      own.history.checkView()
      own.isViewStale = false
      await own.clock.advance(PERIOD_MS - 1)
    })).toBe('v1 incomplete')
  })

  it('counts a version that left within the period', async () => {
    expect(await doTest(async ({ clock, table }) => { table.updateTarget(createTarget('b')); table.handleRemoval('a'); await clock.advance(PERIOD_MS) })).toBe('v1,none complete')
  })

  it('forgets a version that left before the period', async () => {
    expect(await doTest(async ({ clock, table }) => { table.updateTarget(createTarget('b')); table.handleRemoval('a'); await clock.advance(PERIOD_MS + 1) })).toBe('none complete')
  })

  it('counts both versions of a target that was replaced under its name', async () => {
    expect(await doTest(({ table }) => { table.updateTarget(createTarget('a', { softwareVersion: 'v2', startedAtMs: 2 })) })).toBe('v1,v2 incomplete')
  })

  it('counts both versions of an entry that was changed under its name', async () => {
    expect(await doTest(({ table }) => { table.updateTarget(createTarget('a', { softwareVersion: 'v2' })) })).toBe('v1,v2 incomplete')
  })

  it('is never complete for a period that is longer than the time for which it keeps origins', async () => {
    const clock = VirtualClock.create()
    const history = VersionHistory.create({ clock, isViewStale: () => false })
    await clock.advance(1_000_000)
    expect([600_000, 600_001].map(periodMs => history.getObserved(['calls'], periodMs).isComplete)).toEqual([true, false])
  })

  it('counts leaving targets', async () => {
    expect(await doTest(async ({ clock, table }) => { table.updateTarget(createTarget('a', { softwareVersion: 'v1', phase: 'leaving' })); await clock.advance(PERIOD_MS + 1) })).toBe('v1 complete')
  })

  it('notifies of a version that returns', async () => {
    const notified: number[] = []
    await doTest(async ({ clock, history, table }) => {
      history.addListener(() => notified.push(clock.nowMs()))
      table.updateTarget(createTarget('b', { softwareVersion: 'v1' }))
      for (const name of ['a', 'b']) table.handleRemoval(name)
      await clock.advance(10)
      table.updateTarget(createTarget('c', { softwareVersion: 'v1' }))
    })
    expect(notified).toEqual([10])
  })
})
