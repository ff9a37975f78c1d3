import { type Clock } from '@fescuespoke/common'

/** Kinds of lines about requests: those of failures, and others. */
export type LineKind = 'failure' | 'ordinary'

/** Options of a quota. */
export interface LineQuotaOptions {
  readonly clock: Clock
  /** Maximum number of lines of each kind per second. */
  readonly maxLinesPerSecond: number
  /** Called when a second begins, before its first line. */
  readonly handleWindow: () => void
}

const WINDOW_MS = 1000

/** Limits lines about requests per second. Each kind has its own quota, so that the lines of successes take no place of those of failures. */
export class LineQuota {
  /**
   * Creates a quota.
   * @param options - Options of the quota.
   */
  static create (options: LineQuotaOptions): LineQuota {
    return new LineQuota(options)
  }

  private windowStartMs = -Infinity
  private written: Record<LineKind, number> = { failure: 0, ordinary: 0 }

  /** @internal */
  private constructor (private readonly options: LineQuotaOptions) {}

  /**
   * Takes a line from the quota of its kind.
   * @param kind - Kind of the line.
   * @returns Whether there was one left.
   */
  takeLine (kind: LineKind): boolean {
    this.updateWindow()
    this.written[kind]++
    return this.written[kind] <= this.options.maxLinesPerSecond
  }

  /** Begins a new window when the current one is over. */
  updateWindow (): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.windowStartMs < WINDOW_MS) return
    this.windowStartMs = nowMs
    this.written = { failure: 0, ordinary: 0 }
    this.options.handleWindow()
  }
}
