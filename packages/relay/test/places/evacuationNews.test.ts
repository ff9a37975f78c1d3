import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RestorableStore } from '../support/RestorableStore.js'
import { ViewFleet } from '../support/ViewFleet.js'

const NAMES = Array.from({ length: 8 }, (_, index) => `i${index}`)

/** Instances that the store does not answer; they learn published keys from peers only. */
const PEER_ONLY = ['i3', 'i6', 'i7']

/** Instances that watch the store for all, and bound on the time in which all know of an evacuation, in milliseconds. */
const WATCHERS = 3
const EVACUATE_MS = 5000

const KEY = 'op/evacuate/z1'
const STEADY_MS = 10_000

interface TestFleet {
  readonly fleet: ViewFleet
  readonly store: RestorableStore
  /** Lists the instances that hold the key. */
  readonly listHolders: () => string[]
  readonly advance: (durationMs: number) => Promise<void>
}

/** Starts instances of which some cannot reach the store, and lets them run until they have what it has. */
async function doTest (act: (test: TestFleet) => Promise<void>): Promise<void> {
  const clock = VirtualClock.create()
  const random = SeededRandom.create(3)
  const store = RestorableStore.create({ clock, drawDelayMs: () => random.nextFloat() * 100 })
  store.put('configuration', 'v')
  const fleet = ViewFleet.create({
    names: NAMES, random, maxDelayMs: 100, createSource: name => store.createSource(name), getWatchRank: name => NAMES.indexOf(name) < WATCHERS ? NAMES.indexOf(name) : Infinity
  }, clock)
  for (const name of PEER_ONLY) store.silentInstances.add(name)
  for (const name of NAMES) fleet.run(name)
  const listHolders = (): string[] => NAMES.filter(name => fleet.getInstance(name).view.listItems().some(({ key }) => key === KEY))
  await clock.advance(STEADY_MS)
  await act({ fleet, store, listHolders, advance: async durationMs => await clock.advance(durationMs) })
  for (const name of NAMES) fleet.stop(name)
  await clock.advance(STEADY_MS)
}

describe('the request to evacuate a zone', () => {
  it('reaches all instances in time, and its withdrawal as well, also those that hear of peers only', async () => await doTest(async ({ store, listHolders, advance }) => {
    store.put(KEY, '{}')
    await advance(EVACUATE_MS)
    expect(listHolders()).toEqual(NAMES)
    store.put(KEY)
    await advance(EVACUATE_MS)
    expect(listHolders()).toEqual([])
  }))

  it('stays in force while the store answers no instance', async () => await doTest(async ({ store, listHolders, advance }) => {
    store.put(KEY, '{}')
    await advance(EVACUATE_MS)
    for (const name of NAMES) store.silentInstances.add(name)
    await advance(STEADY_MS)
    expect(listHolders()).toEqual(NAMES)
  }))

  it('is withdrawn where the store returned from a copy that lacks it, and comes back when it is written again', async () => await doTest(async ({ store, listHolders, advance }) => {
    store.put(KEY, '{}')
    await advance(EVACUATE_MS)
    store.restoreCopy(1)
    await advance(EVACUATE_MS)
    const afterReturn = listHolders()
    store.put(KEY, '{}')
    await advance(EVACUATE_MS)
    expect([afterReturn, listHolders()]).toEqual([[], NAMES])
  }))

  it('is known to an instance that restarts and hears of peers only, with all that it has', async () => await doTest(async ({ fleet, store, listHolders, advance }) => {
    store.put(KEY, '{}')
    await advance(EVACUATE_MS)
    fleet.restart('i6')
    const batches: string[][] = []
    fleet.getInstance('i6').view.addListener(items => batches.push(items.map(({ key }) => key)))
    await advance(EVACUATE_MS)
    expect([batches[0], listHolders()]).toEqual([['configuration', KEY], NAMES])
  }))
})
