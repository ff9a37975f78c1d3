import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Options of target backoffs. */
export interface TargetBackoffsOptions {
  readonly clock: Clock
  readonly log: DecisionLog
}

/** Time for which a target wants no requests, as it names it in an answer. */
export interface NamedBackoff {
  /** The time in milliseconds; absent where it cannot be read. */
  readonly durationMs?: number
  /** The time as the answer has it, for the log. */
  readonly text: string
}

interface BackoffRecord {
  readonly startedAtMs: number
  /** Clock reading at which the target accepts requests again. */
  readonly endsAtMs: number
  /** Clock reading at which the log last stated a time of the target. */
  readonly loggedAtMs: number
}

/** Time that is assumed where the named one is negative or cannot be read, and longest time that is kept, in milliseconds. */
const UNREADABLE_BACKOFF_MS = 1000
const MAX_BACKOFF_MS = 3_600_000

/** Minimum interval between two log lines about times of one target, in milliseconds. */
const LOG_INTERVAL_MS = 1000

/** Times for which targets want no requests of this instance. */
export class TargetBackoffs {
  /**
   * Creates backoffs without any records.
   * @param options - Options of the backoffs.
   */
  static create (options: TargetBackoffsOptions): TargetBackoffs {
    return new TargetBackoffs(options)
  }

  private readonly records = new Map<string, BackoffRecord>()

  /** @internal */
  private constructor (private readonly options: TargetBackoffsOptions) {}

  /**
   * Records a time that a target names. A time that ends earlier than a known one of the same incarnation changes nothing.
   * @param target - The target.
   * @param backoff - The named time.
   */
  recordBackoff ({ name, startedAtMs }: RelayTarget, { durationMs, text }: NamedBackoff): void {
    const nowMs = this.options.clock.nowMs()
    this.prune(nowMs)
    const known = this.records.get(name)
    const appliedMs = limitDuration(durationMs)
    const endsAtMs = nowMs + appliedMs
    const isCovered = known !== undefined && (known.startedAtMs > startedAtMs || (known.startedAtMs === startedAtMs && known.endsAtMs >= endsAtMs))
    if (isCovered) return
    const isLogged = nowMs - (known?.loggedAtMs ?? -Infinity) >= LOG_INTERVAL_MS
    if (isLogged) this.options.log.recordStateChange('target wants no requests', { target: name, stated: text, appliedMs, isBounded: appliedMs !== durationMs })
    this.records.set(name, { startedAtMs, endsAtMs, loggedAtMs: isLogged ? nowMs : known!.loggedAtMs })
  }

  /**
   * Returns the time until a target accepts requests of this instance again, in milliseconds.
   * @param target - The target.
   */
  getWaitMs ({ name, startedAtMs }: RelayTarget): number {
    const record = this.records.get(name)
    return record?.startedAtMs === startedAtMs ? Math.max(0, record.endsAtMs - this.options.clock.nowMs()) : 0
  }

  private prune (nowMs: number): void {
    for (const [name, { endsAtMs }] of this.records) if (nowMs - endsAtMs >= LOG_INTERVAL_MS) this.records.delete(name)
  }
}

function limitDuration (durationMs: number = UNREADABLE_BACKOFF_MS): number {
  return durationMs < 0 ? UNREADABLE_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, durationMs)
}
