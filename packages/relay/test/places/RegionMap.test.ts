import { describe, expect, it } from 'vitest'
import { intersectRegions } from '../../src/places/intersectRegions.js'
import { RegionMap } from '../../src/places/RegionMap.js'

/** Returns which of zones z1 of r1, z2 of r2 and z9 of an unknown region are allowed. */
function doTest (allowedRegions: readonly string[] | undefined): string[] {
  const regions = RegionMap.create({ zones: new Map([['z1', 'r1'], ['z2', 'r2']]) })
  return ['z1', 'z2', 'z9'].filter(zone => regions.isAllowed(zone, allowedRegions))
}

describe('RegionMap', () => {
  it('allows all zones without a list', () => expect(doTest(undefined)).toEqual(['z1', 'z2', 'z9']))
  it('allows the zones of the listed regions', () => expect(doTest(['r2'])).toEqual(['z2']))
  it('allows several regions', () => expect(doTest(['r1', 'r2'])).toEqual(['z1', 'z2']))
  it('allows no zone of an unknown region where regions are listed', () => expect(doTest(['r3'])).toEqual([]))
  it('allows none where no region is left', () => expect(doTest([])).toEqual([]))
})

describe('intersectRegions', () => {
  it('restricts nothing without lists', () => expect(intersectRegions(undefined, undefined)).toBeUndefined())
  it('takes an empty list as one that allows all', () => expect([intersectRegions([], undefined), intersectRegions([], ['r1'])]).toEqual([undefined, ['r1']]))
  it('applies a single list', () => expect([intersectRegions(['r1'], undefined), intersectRegions(undefined, ['r2'])]).toEqual([['r1'], ['r2']]))
  it('applies both lists', () => expect(intersectRegions(['r1', 'r2'], ['r2', 'r3'])).toEqual(['r2']))
  it('allows no region where the lists have none in common', () => expect(intersectRegions(['r1'], ['r2'])).toEqual([]))
})
