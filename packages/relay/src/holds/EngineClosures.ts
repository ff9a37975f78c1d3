import { type Clock } from '@fescuespoke/common'
import { type RelayTarget } from '../model/RelayTarget.js'

interface ClosureRecord {
  readonly startedAtMs: number
  /** Clock reading at which the engine may be asked again. */
  readonly endsAtMs: number
}

/** Engines that refused a reservation, and the times until they may be asked again. */
export class EngineClosures {
  /**
   * Creates closures without records.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): EngineClosures {
    return new EngineClosures(clock)
  }

  private readonly records = new Map<string, ClosureRecord>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Closes an engine.
   * @param target - The engine.
   * @param durationMs - Time until it may be asked again, in milliseconds.
   */
  close ({ name, startedAtMs }: RelayTarget, durationMs: number): void {
    const nowMs = this.clock.nowMs()
    for (const [key, { endsAtMs }] of this.records) if (endsAtMs <= nowMs) this.records.delete(key)
    this.records.set(name, { startedAtMs, endsAtMs: nowMs + durationMs })
  }

  /**
   * Opens an engine.
   * @param target - The engine.
   */
  open ({ name }: RelayTarget): void {
    this.records.delete(name)
  }

  /**
   * Returns the time until an engine may be asked again, in milliseconds.
   * @param target - The engine.
   */
  getWaitMs ({ name, startedAtMs }: RelayTarget): number {
    const record = this.records.get(name)
    return record?.startedAtMs === startedAtMs ? Math.max(0, record.endsAtMs - this.clock.nowMs()) : 0
  }
}
