import { type Clock } from '@fescuespoke/common'
import { ORDINARY_PACE, type TargetPace } from './TargetPace.js'

/** Options of the fastest paces. */
export interface FastestPacesOptions {
  readonly clock: Clock
  /** Lists the paces of the targets of a service that may receive requests. */
  readonly listPaces: (service: string) => readonly TargetPace[]
}

/** Time for which a pace is kept, since many waiting requests ask for it, in milliseconds. */
const KEPT_MS = 100

interface KeptPace {
  readonly pace: TargetPace
  readonly computedAtMs: number
}

/** The fastest target of each service. */
export class FastestPaces {
  /**
   * Creates paces of which none is known.
   * @param options - Options of the paces.
   */
  static create (options: FastestPacesOptions): FastestPaces {
    return new FastestPaces(options)
  }

  private readonly keptByService = new Map<string, KeptPace>()

  /** @internal */
  private constructor (private readonly options: FastestPacesOptions) {}

  /**
   * Returns the pace of the fastest target; that of an ordinary one when there is none.
   * @param service - Name of the service.
   */
  get (service: string): TargetPace {
    const nowMs = this.options.clock.nowMs()
    const kept = this.keptByService.get(service)
    if (kept !== undefined && nowMs - kept.computedAtMs < KEPT_MS) return kept.pace
    const paces = this.options.listPaces(service)
    const pace = paces.length === 0 ? ORDINARY_PACE : paces.reduce((fastest, other) => isFaster(other, fastest) ? other : fastest)
    this.keptByService.set(service, { pace, computedAtMs: nowMs })
    return pace
  }
}

/** Compares by the gaps of streams, and by speed where these are not known. */
function isFaster (a: TargetPace, b: TargetPace): boolean {
  const difference = (a.longestGapMs ?? Infinity) - (b.longestGapMs ?? Infinity)
  return Number.isNaN(difference) ? a.speed > b.speed : difference < 0
}
