import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { InstanceCensus, SETTLE_MS } from '../../src/instance/InstanceCensus.js'

/** Lets an instance with two seeds learn of others, and returns the numbers of instances alive and possibly running. */
function doTest (act: (census: InstanceCensus, clock: VirtualClock) => void, seeds: readonly string[] = ['b', 'c']): number[] {
  const clock = VirtualClock.create()
  const census = InstanceCensus.create({ clock, instance: 'a', listSeeds: () => seeds })
  act(census, clock)
  const { alive, possible } = census.getFleet('t')
  return [alive, possible]
}

/** Lets an instance learn of instances b, c and d in the first second, and waits until its view has settled. */
function settle (census: InstanceCensus, clock: VirtualClock): void {
  for (const name of ['b', 'c', 'd']) census.recordInstance(name, 'present')
  clock.jump(SETTLE_MS)
}

describe('InstanceCensus', () => {
  it('knows no number while no seed was reached, however long that takes', () => expect(doTest((_census, clock) => clock.jump(100_000))).toEqual([1, Infinity]))
  it('counts one instance without seeds after the time in which others would reach it', () => expect(doTest((_census, clock) => clock.jump(SETTLE_MS), [])).toEqual([1, 1]))
  it('knows no number while its view grows', () => expect(doTest((census, clock) => { clock.jump(2000); census.recordInstance('b', 'present'); clock.jump(2000) })).toEqual([2, Infinity]))
  it('knows the number once its view has settled', () => expect(doTest(settle)).toEqual([4, 4]))
  it('counts instances that join later at once', () => expect(doTest((census, clock) => { settle(census, clock); census.recordInstance('e', 'present') })).toEqual([5, 5]))
  it('counts seeds that were never reached', () => expect(doTest((census, clock) => { census.recordInstance('d', 'present'); clock.jump(SETTLE_MS) })).toEqual([2, 4]))
  it('counts instances out of reach, which may be running', () => expect(doTest((census, clock) => { settle(census, clock); census.recordInstance('d', 'lost'); clock.jump(300_000) })).toEqual([3, 4]))
  it('does not count instances that announced their end', () => expect(doTest((census, clock) => { settle(census, clock); census.recordInstance('d', 'left') })).toEqual([3, 3]))
  it('knows the number after all others were lost', () => expect(doTest((census, clock) => { settle(census, clock); for (const name of ['b', 'c', 'd']) census.recordInstance(name, 'lost') })).toEqual([1, 4]))
  it('forgets lost instances after a long time', () => expect(doTest((census, clock) => { settle(census, clock); census.recordInstance('d', 'lost'); clock.jump(600_000) })).toEqual([3, 3]))

  it('counts what a peer knows of instances that were lost before the start, as ranked first', () => {
    const clock = VirtualClock.create()
    const census = InstanceCensus.create({ clock, instance: 'a', listSeeds: () => [] })
    settle(census, clock)
    const { rank } = census.getFleet('t')
    census.recordReport(9)
    expect(census.getFleet('t')).toEqual({ alive: 4, possible: 9, rank: rank + 5 })
    clock.jump(10_000)
    expect(census.getFleet('t')).toEqual({ alive: 4, possible: 4, rank })
  })

  it('reports the number to peers only while instances are lost', () => {
    const clock = VirtualClock.create()
    const census = InstanceCensus.create({ clock, instance: 'a', listSeeds: () => [] })
    settle(census, clock)
    const before = census.findReport()
    census.recordInstance('c', 'lost')
    expect([before, census.findReport()]).toEqual([undefined, 4])
  })

  it('gives all instances of a fleet different ranks, also while they reach different ones', () => {
    const clock = VirtualClock.create()
    const names = ['a', 'b', 'c', 'd', 'e', 'f']
    const ranks = names.map((instance, index) => {
      const census = InstanceCensus.create({ clock, instance, listSeeds: () => ['a'].filter(name => name !== instance) })
      for (const name of names) if (name !== instance) census.recordInstance(name, 'present')
      clock.jump(SETTLE_MS)
      for (const [otherIndex, name] of names.entries()) if (name !== instance && index % 2 !== otherIndex % 2) census.recordInstance(name, 'lost')
      return census.getFleet('t').rank
    })
    expect([...ranks].sort()).toEqual([0, 1, 2, 3, 4, 5])
  })
})
