import { type Clock } from '@fescuespoke/common'
import { type RelayTarget } from '../model/RelayTarget.js'

interface EngineRefusal {
  readonly startedAtMs: number
  /** Memory that the refused generation needed, in tokens. */
  readonly tokens: number
  /** Clock reading at which the engine may be asked again. */
  readonly endsAtMs: number
}

/** Engines that refused a reservation, and the times until they may be asked again for as much memory. */
export class EngineClosures {
  /**
   * Creates closures without records.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): EngineClosures {
    return new EngineClosures(clock)
  }

  private readonly refusals = new Map<string, readonly EngineRefusal[]>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Closes an engine for generations that need as much memory as a refused one.
   * @param target - The engine.
   * @param tokens - Memory that the refused generation needed, in tokens.
   * @param durationMs - Time until it may be asked again, in milliseconds.
   */
  close ({ name, startedAtMs }: RelayTarget, tokens: number, durationMs: number): void {
    this.prune()
    const refusal: EngineRefusal = { startedAtMs, tokens, endsAtMs: this.clock.nowMs() + durationMs }
    const others = this.refusals.get(name) ?? []
    this.refusals.set(name, [...others.filter(other => other.tokens < tokens || other.endsAtMs > refusal.endsAtMs), refusal])
  }

  /**
   * Opens an engine.
   * @param target - The engine.
   */
  open ({ name }: RelayTarget): void {
    this.refusals.delete(name)
  }

  /**
   * Returns the time until an engine may be asked again, in milliseconds.
   * @param target - The engine.
   * @param tokens - Memory that a generation needs, in tokens.
   */
  getWaitMs ({ name, startedAtMs }: RelayTarget, tokens: number): number {
    const nowMs = this.clock.nowMs()
    const waits = (this.refusals.get(name) ?? []).filter(refusal => refusal.startedAtMs === startedAtMs && refusal.tokens <= tokens).map(({ endsAtMs }) => endsAtMs - nowMs)
    return Math.max(0, ...waits)
  }

  private prune (): void {
    const nowMs = this.clock.nowMs()
    for (const [name, refusals] of this.refusals) {
      const current = refusals.filter(({ endsAtMs }) => endsAtMs > nowMs)
      if (current.length === 0) this.refusals.delete(name)
      else this.refusals.set(name, current)
    }
  }
}
