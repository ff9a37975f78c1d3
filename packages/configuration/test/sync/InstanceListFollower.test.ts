import { type ListedEntry } from '@fescuespoke/schema'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { TestFleet } from '../support/TestFleet.js'

const MAX_FRESH_AGE_MS = 2000

function createEntries (...names: string[]): ListedEntry[] {
  return names.map(name => ({ id: name.replace('-', ''), role: 'target', state: name.endsWith('-') ? 'leaving' : 'live' }))
}

describe('InstanceListFollower', () => {
  let fleet: TestFleet

  beforeEach(() => { fleet = TestFleet.create() })
  afterEach(async () => { await fleet.stop() })

  /** Starts instances with a published list, runs the steps and returns the state of target a in the view of each instance. */
  async function doTest (count: number, ...steps: Array<() => void>): Promise<string[]> {
    fleet.platform.publishList(1, createEntries('a', 'b', 'c'))
    for (let index = 0; index < count; index++) await fleet.startInstance(`i${index}`, `z${index % 3}`)
    await fleet.clock.advance(3000)
    for (const step of steps) {
      step()
      await fleet.clock.advance(MAX_FRESH_AGE_MS)
    }
    return listStates()
  }

  function listStates (): string[] {
    return [...fleet.instances.values()].map(({ list }) => {
      const { state, ageMs } = list.getTargetState('a')
      return `${state} ${ageMs < MAX_FRESH_AGE_MS ? 'fresh' : 'old'}`
    })
  }

  it('keeps every view fresh in a small fleet', async () => {
    expect(new Set(await doTest(4))).toEqual(new Set(['active fresh']))
  })

  it('keeps every view fresh when few instances read the list', async () => {
    await doTest(30)
    for (let step = 0; step < 40; step++) {
      await fleet.clock.advance(50)
      expect(new Set(listStates())).toEqual(new Set(['active fresh']))
    }
  })

  it('propagates a leaving target to all instances', async () => {
    expect(new Set(await doTest(30, () => fleet.platform.publishList(2, createEntries('a-', 'b', 'c'))))).toEqual(new Set(['leaving fresh']))
  })

  it('updates an instance that cannot read the list through its peers', async () => {
    expect(await doTest(3,
      () => { fleet.platform.isUpFor = reader => reader !== 'i1' },
      () => fleet.platform.publishList(2, createEntries('a-', 'b', 'c')))).toEqual(['leaving fresh', 'leaving fresh', 'leaving fresh'])
  })

  it('lets the views become stale while no instance can read the list, and records the refreshes', async () => {
    expect(await doTest(2, () => { fleet.platform.isUpFor = () => false }, () => {})).toEqual(['active old', 'active old'])
    expect([...fleet.instances.values()].every(({ listFollower }) => listFollower.getLastRefreshAgeMs() < MAX_FRESH_AGE_MS)).toBe(true)
  })

  it('lets the views become stale while the list is empty or of a lower version', async () => {
    expect(await doTest(2, () => fleet.platform.publishList(2, []), () => {})).toEqual(['active old', 'active old'])
    fleet.platform.publishList(0, createEntries('z'))
    await fleet.clock.advance(MAX_FRESH_AGE_MS)
    expect(listStates()).toEqual(['active old', 'active old'])
    fleet.platform.publishList(3, createEntries('a', 'b'))
    await fleet.clock.advance(MAX_FRESH_AGE_MS)
    expect(listStates()).toEqual(['active fresh', 'active fresh'])
  })

  it('sends a peer only the differences, which lead to the same list', async () => {
    await doTest(2, () => { fleet.platform.isUpFor = reader => reader === 'i0' }, () => fleet.platform.publishList(2, createEntries('a-', 'b', 'd')))
    const [first, second] = [...fleet.instances.values()].map(({ list }) => list.listEntries())
    expect(second).toEqual(first)
  })

  it('does not treat states from before a pause as fresh', async () => {
    await doTest(2)
    fleet.clock.jump(60_000)
    expect(listStates()).toEqual(['active old', 'active old'])
    await fleet.clock.advance(MAX_FRESH_AGE_MS)
    expect(listStates()).toEqual(['active fresh', 'active fresh'])
  })

  /** Pauses the process while the answers to a refresh are in transit, and returns the state of target a afterwards. */
  async function pauseDuringRefresh (isUp: boolean): Promise<string[]> {
    await doTest(2)
    fleet.platform.isUpFor = () => isUp
    const refreshed = fleet.instances.get('i0')?.listFollower.refresh()
    await fleet.clock.advance(1.5)
    fleet.platform.isUpFor = () => false
    fleet.platform.publishList(2, createEntries('a-', 'b', 'c'))
    fleet.clock.jump(60_000)
    await fleet.clock.advance(1)
    await refreshed
    return listStates().slice(0, 1)
  }

  it('does not treat an answer of the platform that arrived during a pause as fresh', async () =>
    expect(await pauseDuringRefresh(true)).toEqual(['active old']))

  it('does not treat an answer of a peer that arrived during a pause as fresh', async () =>
    expect(await pauseDuringRefresh(false)).toEqual(['active old']))
})
