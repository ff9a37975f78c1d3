import { type Clock } from '@fescuespoke/common'

/** Time for which a target that refused the rest of a stream is not asked again, in milliseconds; it doubles with each further refusal. */
const REFUSAL_REST_MS = 500

interface Rest {
  readonly durationMs: number
  /** Clock reading at which it ends. */
  readonly endsAtMs: number
}

/** Targets that have refused the rest of a stream, which may ask them again after a while: one that is full now may have room later. */
export class RefusedTargets {
  /**
   * Creates a set without targets.
   * @param clock - Clock of the rests.
   */
  static create (clock: Clock): RefusedTargets {
    return new RefusedTargets(clock)
  }

  private readonly rests = new Map<string, Rest>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Adds a target that has just refused.
   * @param name - Name of the target.
   */
  add (name: string): void {
    const durationMs = 2 * (this.rests.get(name)?.durationMs ?? REFUSAL_REST_MS / 2)
    this.rests.set(name, { durationMs, endsAtMs: this.clock.nowMs() + durationMs })
  }

  /**
   * Returns whether a target may be asked now.
   * @param name - Name of the target.
   */
  mayAsk (name: string): boolean {
    return (this.rests.get(name)?.endsAtMs ?? -Infinity) <= this.clock.nowMs()
  }
}
