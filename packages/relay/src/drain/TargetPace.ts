import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetSpeeds } from '../speeds/TargetSpeeds.js'
import { type TargetTable } from '../targets/TargetTable.js'

/** How fast a target answers. */
export interface TargetPace {
  /** Speed relative to the other targets of its service. */
  readonly speed: number
  /** Longest mean gap between two events of its latest streams, in milliseconds; undefined while it has had few. */
  readonly longestGapMs?: number
}

/** Pace of a target of which nothing is known. */
export const ORDINARY_PACE: TargetPace = { speed: 1 }

/**
 * Returns the pace of a target.
 * @param speeds - Speeds of targets.
 * @param target - The target.
 */
export function getTargetPace (speeds: TargetSpeeds, target: RelayTarget): TargetPace {
  return { speed: speeds.getSpeed(target), longestGapMs: speeds.findLongestGapMs(target) }
}

/**
 * Lists the paces of the targets of a service that may receive new requests.
 * @param dependencies - Targets and their speeds.
 * @param service - Name of the service.
 */
export function listTargetPaces ({ table, speeds }: { readonly table: TargetTable, readonly speeds: TargetSpeeds }, service: string): readonly TargetPace[] {
  return table.listUsable(service).map(({ target }) => getTargetPace(speeds, target))
}
