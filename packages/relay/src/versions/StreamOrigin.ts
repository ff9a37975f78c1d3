import { type RelayTarget } from '../model/RelayTarget.js'

/** Service and software version that produced the first event of a stream. What other versions write does not fit to it. */
export interface StreamOrigin {
  readonly service: string
  /** Absent when the targets report no version; they count as one version. */
  readonly softwareVersion?: string
}

/**
 * Creates the origin of the streams that begin at a target.
 * @param target - The target.
 */
export function createStreamOrigin ({ service, softwareVersion }: RelayTarget): StreamOrigin {
  return { service, softwareVersion }
}

/**
 * Returns whether two origins are of the same service and version.
 * @param a - One origin.
 * @param b - The other origin.
 */
export function isSameOrigin (a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.softwareVersion === b.softwareVersion
}

/**
 * Formats an origin as a key of a map.
 * @param origin - The origin.
 */
export function formatOriginKey ({ service, softwareVersion }: StreamOrigin): string {
  return JSON.stringify([service, softwareVersion])
}
