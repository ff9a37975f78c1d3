import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'
import { PlacementFleet } from '../support/PlacementFleet.js'

const LOADS_PER_MINUTE = 6
const MINUTE_MS = 60_000
const INSTANCES = ['i0', 'i1', 'i2', 'i3', 'i4', 'i5']

describe('LoadPermits', () => {
  let fleet: PlacementFleet

  beforeEach(() => { fleet = PlacementFleet.create() })
  afterEach(async () => { await fleet.stop() })

  /** Starts several controllers that load many models, runs the steps, and returns the number of loads in total and the maximum in any minute. */
  async function doTest (...steps: Array<() => void | Promise<unknown>>): Promise<{ loads: number, maxPerMinute: number }> {
    INSTANCES.forEach((instance, index) => fleet.startController(instance, `z${index % 3}`, LOADS_PER_MINUTE))
    const targets = Array.from({ length: 30 }, (_, index) => createTargetItem(`t${index}`, { availabilityZone: `z${index % 3}`, fencing: 'enforced' }))
    fleet.publish(1, createValues({ targets, chat: createServiceItem('chat') }))
    await fleet.clock.advance(3 * MINUTE_MS)
    for (const step of steps) {
      await step()
      await fleet.clock.advance(3 * MINUTE_MS)
    }
    return countLoads()
  }

  function countLoads (): { loads: number, maxPerMinute: number } {
    const times = fleet.engines.orders.filter(order => order.action === 'load').map(order => order.atMs)
    const counts = times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + MINUTE_MS).length)
    return { loads: times.length, maxPerMinute: Math.max(0, ...counts) }
  }

  it('keeps the loads of all controllers together below the rate', async () => {
    const { loads, maxPerMinute } = await doTest(() => {})
    expect(maxPerMinute).toBeLessThanOrEqual(LOADS_PER_MINUTE)
    expect(loads).toBeGreaterThanOrEqual(10)
  })

  it('keeps two halves of a split fleet below the rate, and both continue to load', async () => {
    await doTest()
    const before = countLoads().loads
    fleet.split(['i0', 'i1', 'i2'], ['i3', 'i4', 'i5'])
    await fleet.clock.advance(6 * MINUTE_MS)
    fleet.split()
    await fleet.clock.advance(3 * MINUTE_MS)
    const { loads, maxPerMinute } = countLoads()
    expect(maxPerMinute).toBeLessThanOrEqual(LOADS_PER_MINUTE)
    expect(loads).toBeGreaterThan(before + 10)
  })

  it('keeps three partitions of a split fleet below the rate', async () => {
    const { maxPerMinute } = await doTest(() => fleet.split(['i0', 'i3'], ['i1', 'i4'], ['i2', 'i5']), () => fleet.split(), () => {})
    expect(maxPerMinute).toBeLessThanOrEqual(LOADS_PER_MINUTE)
  })

  it('keeps below the rate when links fail only between some instances', async () => {
    const { maxPerMinute } = await doTest(() => fleet.split(INSTANCES.slice(0, 5), INSTANCES.slice(1)), () => fleet.split())
    expect(maxPerMinute).toBeLessThanOrEqual(LOADS_PER_MINUTE)
  })

  it('keeps below the rate while instances are replaced', async () => {
    const replace = (instance: string) => async (): Promise<void> => {
      const values = fleet.controllers.get('i5')?.configuration.getValues() ?? {}
      await fleet.stopController(instance)
      fleet.startController(instance, 'z0', LOADS_PER_MINUTE)
      fleet.publish(1, values, [instance])
    }
    const { loads, maxPerMinute } = await doTest(...INSTANCES.slice(0, 5).map(replace))
    expect(maxPerMinute).toBeLessThanOrEqual(LOADS_PER_MINUTE)
    expect(loads).toBeGreaterThan(10)
  })

  it('permits no loads before the instance list is known', async () => {
    fleet.startController('i0', 'z0', LOADS_PER_MINUTE)
    fleet.fleetSize = 0
    await fleet.clock.advance(2 * MINUTE_MS)
    expect(await fleet.controllers.get('i0')?.permits.requestPermit()).toBe(false)
  })
})
