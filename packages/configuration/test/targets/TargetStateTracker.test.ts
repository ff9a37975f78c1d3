import { type ListedEntry, type TargetState } from '@fescuespoke/schema'
import { type Target } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { TargetStateTracker } from '../../src/index.js'
import { TestFleet, type TestInstance } from '../support/TestFleet.js'

const TARGET: Target = { name: 'a', url: 'http://a', availabilityZone: 'z0', region: 'r', fencing: 'ignored' }
const LIVE: ListedEntry[] = ['a', 'b', 'c'].map(id => ({ id, role: 'target', state: 'live' }))
const LEAVING = LIVE.map(entry => entry.id === 'a' ? { ...entry, state: 'leaving' as const } : entry)

describe('TargetStateTracker', () => {
  let fleet: TestFleet
  let instance: TestInstance
  let tracker: TargetStateTracker
  let report: TargetState['state'] | undefined

  beforeEach(async () => {
    fleet = TestFleet.create()
    fleet.platform.publishList(1, LIVE)
    report = undefined
    instance = await fleet.startInstance('i0', 'z0')
    await fleet.startInstance('i1', 'z1')
    await fleet.clock.advance(3000)
    tracker = TargetStateTracker.create({
      clock: fleet.clock,
      audit: instance.audit,
      list: instance.list,
      listRefresher: instance.listFollower,
      reader: {
        fetchState: async () => {
          await fleet.clock.sleep(2)
          return report === undefined ? Result.err('unreachable') : Result.ok({ target: 'a', incarnation: '1', state: report })
        }
      }
    })
  })

  afterEach(async () => { await fleet.stop() })

  async function doTest (...steps: Array<() => void | Promise<void>>): Promise<string> {
    for (const step of steps) await step()
    const isFresh = tracker.canReceiveWork('a')
    const confirmation = tracker.confirm(TARGET)
    await fleet.clock.advance(400)
    const confirmed = await confirmation
    return `${isFresh ? 'fresh' : 'old'}, then ${confirmed.isOk ? confirmed.value : confirmed.error}`
  }

  const disconnectFromList = () => { fleet.platform.isUpFor = reader => reader !== 'i0' }
  const disconnectAllFromList = () => { fleet.platform.isUpFor = () => false }
  const isolate = () => fleet.network.split(['i0'], ['i1'])
  const markLeaving = () => fleet.platform.publishList(2, LEAVING)
  const wait = async (): Promise<void> => await fleet.clock.advance(2500)
  const pause = () => fleet.clock.jump(60_000)
  const setReport = (state: TargetState['state']) => () => { report = state }

  it('confirms an active target from the list alone', async () => expect(await doTest()).toBe('fresh, then active'))

  it('detects a leaving target from the list', async () =>
    expect(await doTest(markLeaving, wait, setReport('active'))).toBe('old, then leaving'))

  it('detects a leaving target through peers when it cannot read the list', async () =>
    expect(await doTest(disconnectFromList, markLeaving, wait)).toBe('old, then leaving'))

  it('detects a leaving target after a pause before assigning work', async () =>
    expect(await doTest(async () => { fleet.platform.publishList(2, LEAVING); pause() }, setReport('active'))).toBe('old, then leaving'))

  it('detects a leaving target through peers after a pause when it cannot read the list', async () =>
    expect(await doTest(disconnectFromList, markLeaving, pause, setReport('active'))).toBe('old, then leaving'))

  it('returns an error when neither the list nor peers nor the target answer', async () =>
    expect(await doTest(disconnectAllFromList, wait)).toBe('old, then unreachable'))

  it('uses the reports of targets while no instance can read the list', async () =>
    expect(await doTest(disconnectAllFromList, setReport('active'), wait)).toBe('old, then active'))

  it('uses the report of the target when isolated from the list and all peers', async () =>
    expect(await doTest(disconnectFromList, isolate, setReport('active'), wait, wait)).toBe('old, then active'))

  it('does not use a report alone before the list has been requested', async () => {
    await doTest(setReport('active'))
    fleet.clock.jump(60_000)
    tracker.recordReport('a', 'active', fleet.clock.nowMs())
    expect([tracker.getAgeMs('a'), tracker.canReceiveWork('a')]).toEqual([0, false])
  })

  it('detects a leaving target from its report', async () => {
    expect(await doTest(setReport('leaving'))).toBe('fresh, then leaving')
    expect(instance.audit.getPage(0).events.filter(event => event.kind === 'targetLeaving').map(event => event.cause)).toEqual(['reported by the target itself'])
  })

  it('keeps a target leaving when an active report that was requested earlier arrives late', async () => {
    const sentAtMs = fleet.clock.nowMs()
    await fleet.clock.advance(100)
    tracker.recordReport('a', 'leaving', sentAtMs)
    tracker.recordReport('a', 'active', sentAtMs + 50)
    expect(tracker.getState('a')).toBe('leaving')
    await fleet.clock.advance(100)
    tracker.recordReport('a', 'active', fleet.clock.nowMs())
    expect(tracker.getState('a')).toBe('active')
  })
})
