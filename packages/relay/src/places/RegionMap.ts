/** Regions in which requests may be served; absent where all are allowed, and empty where none is left. */
export type AllowedRegions = readonly string[]

/** Options of a region map. */
export interface RegionMapOptions {
  /** Regions by availability zone. */
  readonly zones?: ReadonlyMap<string, string>
}

/** Knows the region of each availability zone. */
export class RegionMap {
  /**
   * Creates a map.
   * @param options - The zones.
   */
  static create (options: RegionMapOptions = {}): RegionMap {
    return new RegionMap(options.zones ?? new Map())
  }

  /** @internal */
  private constructor (private readonly zones: ReadonlyMap<string, string>) {}

  /**
   * Returns the region of an availability zone; undefined when it is not known.
   * @param availabilityZone - The zone.
   */
  findRegion (availabilityZone: string): string | undefined {
    return this.zones.get(availabilityZone)
  }

  /**
   * Returns whether requests may be served in an availability zone. A zone whose region is not known is in no list.
   * @param availabilityZone - The zone.
   * @param allowedRegions - Regions in which they may be served.
   */
  isAllowed (availabilityZone: string, allowedRegions: AllowedRegions | undefined): boolean {
    if (allowedRegions === undefined) return true
    const region = this.findRegion(availabilityZone)
    return region !== undefined && allowedRegions.includes(region)
  }
}
