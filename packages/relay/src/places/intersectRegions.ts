import { type AllowedRegions } from './RegionMap.js'

/**
 * Returns the regions that all lists allow; undefined when no list restricts them. Lists without a region in common allow none.
 * @param lists - The lists; one that is absent or empty allows all regions.
 */
export function intersectRegions (...lists: ReadonlyArray<AllowedRegions | undefined>): AllowedRegions | undefined {
  const [first, ...others] = lists.filter(list => list !== undefined && list.length > 0) as AllowedRegions[]
  return first?.filter(region => others.every(list => list.includes(region)))
}
