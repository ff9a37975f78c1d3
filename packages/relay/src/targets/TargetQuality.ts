import { type Clock } from '@fescuespoke/common'

/** How a target's part in a request ended. */
export type AttemptVerdict = 'success' | 'failure' | 'unreachable'

/** Weight of the latest verdict in the share of failures. */
const VERDICT_WEIGHT = 0.2

/** Time in which the memory of failures halves, in milliseconds. */
const HALF_LIFE_MS = 4000

/** Time for which a target that could not be reached is passed over, in milliseconds. */
const UNREACHABLE_MS = 1000

interface Quality {
  failureShare: number
  updatedAtMs: number
  unreachableUntilMs: number
}

/** How well targets have answered lately, from the answers alone. */
export class TargetQuality {
  /**
   * Creates the quality of targets, all without failures.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): TargetQuality {
    return new TargetQuality(clock)
  }

  private readonly targets = new Map<string, Quality>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Observes how a target's part in a request ended.
   * @param target - Name of the target.
   * @param verdict - How it ended.
   */
  observeVerdict (target: string, verdict: AttemptVerdict): void {
    const nowMs = this.clock.nowMs()
    const quality = this.targets.get(target) ?? { failureShare: 0, updatedAtMs: nowMs, unreachableUntilMs: -Infinity }
    const share = computeDecayed(quality, nowMs)
    quality.failureShare = share + VERDICT_WEIGHT * ((verdict === 'success' ? 0 : 1) - share)
    quality.updatedAtMs = nowMs
    quality.unreachableUntilMs = UNREACHABLE_UNTIL[verdict](nowMs)
    this.targets.set(target, quality)
  }

  /**
   * Gets the share of a target's requests that failed lately, from 0 to 1.
   * @param target - Name of the target.
   */
  getFailureShare (target: string): number {
    const quality = this.targets.get(target)
    return quality === undefined ? 0 : computeDecayed(quality, this.clock.nowMs())
  }

  /**
   * Tells whether a target could not be reached a moment ago.
   * @param target - Name of the target.
   */
  isUnreachable (target: string): boolean {
    return (this.targets.get(target)?.unreachableUntilMs ?? -Infinity) > this.clock.nowMs()
  }
}

const UNREACHABLE_UNTIL: Record<AttemptVerdict, (nowMs: number) => number> = {
  success: () => -Infinity,
  failure: () => -Infinity,
  unreachable: nowMs => nowMs + UNREACHABLE_MS
}

function computeDecayed ({ failureShare, updatedAtMs }: Quality, nowMs: number): number {
  return failureShare * 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS)
}
