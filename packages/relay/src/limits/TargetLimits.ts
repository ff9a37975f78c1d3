import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type NamedLimit } from '../targets/RelayTargetClient.js'

/** Options of target limits. */
export interface TargetLimitsOptions {
  readonly clock: Clock
  readonly log: DecisionLog
}

/** Limit of one incarnation of a target. */
interface LimitRecord {
  readonly startedAtMs: number
  readonly perSecond: number
  /** Clock reading at which an answer last named it. */
  readonly namedAtMs: number
}

/** Limits on the requests that all instances together may send to a target, as the target names them in its answers. */
export class TargetLimits {
  /**
   * Creates limits without any records.
   * @param options - Options of the limits.
   */
  static create (options: TargetLimitsOptions): TargetLimits {
    return new TargetLimits(options)
  }

  private readonly records = new Map<string, LimitRecord>()

  /** @internal */
  private constructor (private readonly options: TargetLimitsOptions) {}

  /**
   * Records what an answer of a target says about its limit. An answer without a limit ends it only if its request was sent after the
   * limit was last named, since answers may overtake one another.
   * @param target - The target.
   * @param limit - Limit in the answer; undefined when the answer does not tell.
   * @param sentAtMs - Clock reading at which the request was sent.
   */
  recordAnswer ({ name, startedAtMs }: RelayTarget, limit: NamedLimit | undefined, sentAtMs: number): void {
    const { clock, log } = this.options
    const known = this.records.get(name)
    const record = known?.startedAtMs === startedAtMs ? known : undefined
    if (typeof limit === 'number') {
      this.records.set(name, { startedAtMs, perSecond: limit, namedAtMs: clock.nowMs() })
      if (record?.perSecond !== limit) log.recordStateChange('target limit changed', { target: name, before: record?.perSecond, limit })
    } else if (limit === 'none' && known !== undefined && (record === undefined || sentAtMs > record.namedAtMs)) {
      this.records.delete(name)
      log.recordStateChange('target limit ended', { target: name, before: known.perSecond, namedMs: Math.round(clock.nowMs() - known.namedAtMs) })
    }
  }
}
