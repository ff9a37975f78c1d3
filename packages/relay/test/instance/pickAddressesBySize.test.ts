import { describe, expect, it } from 'vitest'
import { type InstanceSize, pickAddressesBySize } from '../../src/instance/pickAddressesBySize.js'

const CALLERS = Array.from({ length: 2000 }, (_, index) => `10.0.${index >> 8}.${index & 255}`)

/** Cores of the instances of the second deployment under demanding load. */
const SMALL: InstanceSize = { cores: 0.243, linkMbps: 100 }
const LARGE: InstanceSize = { cores: 1.35, linkMbps: 100 }

const createInstances = (sizes: readonly InstanceSize[]): Array<InstanceSize & { instance: string, url: string }> => sizes.map((size, index) => ({ ...size, instance: `i${index}`, url: `u${index}` }))

/** Returns the share of the callers to which each instance is named. */
function doTest (sizes: readonly InstanceSize[]): Record<string, number> {
  const counts = new Map<string, number>()
  for (const caller of CALLERS) for (const url of pickAddressesBySize(createInstances(sizes), caller)) counts.set(url, (counts.get(url) ?? 0) + 1)
  return Object.fromEntries(sizes.map((_, index) => [`u${index}`, (counts.get(`u${index}`) ?? 0) / CALLERS.length]))
}

const repeat = (count: number, size: InstanceSize): InstanceSize[] => Array.from({ length: count }, () => size)

describe('pickAddressesBySize', () => {
  it('names all instances in their order where sizes are unknown', () => {
    expect(pickAddressesBySize(createInstances(repeat(12, {})), 'a')).toEqual(Array.from({ length: 12 }, (_, index) => `u${index}`))
  })

  it('names all instances in their order where sizes are equal', () => {
    expect(pickAddressesBySize(createInstances(repeat(70, LARGE)), 'a')).toEqual(Array.from({ length: 64 }, (_, index) => `u${index}`))
  })

  it('names larger instances to more callers', () => {
    const shares = Object.values(doTest([...repeat(10, SMALL), ...repeat(10, LARGE)]))
    for (const share of shares.slice(0, 10)) expect(share).toBeLessThan(0.4)
    for (const share of shares.slice(10)) expect(share).toBeGreaterThan(0.75)
  })

  it('names instances in proportion to their size where many are there', () => {
    const shares = Object.values(doTest([...repeat(400, { cores: 1 }), ...repeat(100, { cores: 3 })]))
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
    expect(mean(shares.slice(400)) / mean(shares.slice(0, 400))).toBeGreaterThan(2.7)
  })

  it('names the larger instance first to most callers', () => {
    const first = CALLERS.map(caller => pickAddressesBySize(createInstances([SMALL, LARGE]), caller)[0])
    expect(first.filter(url => url === 'u1').length / CALLERS.length).toBeCloseTo(1.35 / (0.243 + 1.35), 1)
  })

  it('names at least half of the instances, which bounds the load of each if all callers have one address', () => {
    expect(pickAddressesBySize(createInstances([...repeat(19, { cores: 0.1 }), { cores: 10 }]), 'a')).toHaveLength(10)
  })

  it('names all of a few instances, so that a caller has others when some end', () => {
    expect(pickAddressesBySize(createInstances([...repeat(7, SMALL), LARGE]), 'a').sort()).toEqual(Array.from({ length: 8 }, (_, index) => `u${index}`))
  })

  it('names instances with a narrow link to fewer callers', () => {
    const shares = Object.values(doTest([...repeat(10, { cores: 1, linkMbps: 7 }), ...repeat(10, { cores: 1, linkMbps: 140 })]))
    expect(Math.max(...shares.slice(0, 10))).toBeLessThan(Math.min(...shares.slice(10)))
  })

  it('takes an instance of an earlier release, which states no size, as one of mean size', () => {
    const shares = doTest([...repeat(10, SMALL), ...repeat(10, LARGE), {}])
    expect(shares.u20).toBeGreaterThan(shares.u0!)
    expect(shares.u20).toBeLessThan(shares.u19!)
  })

  it('ignores sizes that are no positive numbers', () => {
    expect(pickAddressesBySize(createInstances([{ cores: NaN }, { cores: -1 }, { cores: 0, linkMbps: Infinity }]), 'a')).toEqual(['u0', 'u1', 'u2'])
  })

  it('gives a caller the same addresses apart from those that come and go', () => {
    const instances = createInstances([...repeat(10, SMALL), ...repeat(11, LARGE)])
    for (const caller of CALLERS.slice(0, 200)) {
      const before = pickAddressesBySize(instances, caller)
      const after = pickAddressesBySize(instances.filter(({ url }) => url !== before[0]), caller)
      expect(before.slice(1).every(url => after.includes(url) || before.indexOf(url) >= after.length)).toBe(true)
      expect(after.filter(url => !before.includes(url)).length).toBeLessThanOrEqual(1)
    }
  })
})
