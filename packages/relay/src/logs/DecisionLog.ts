import { type Clock, type Logger } from '@fescuespoke/common'

/** Data of one line. */
export type LogFields = Readonly<Record<string, unknown>>

/** Options of a decision log. */
export interface DecisionLogOptions {
  readonly logger: Logger
  readonly clock: Clock
  /** Lines about requests that may be written in a second; the rest is counted. */
  readonly maxLinesPerSecond?: number
  /** Observes a line that was left out. */
  readonly countDropped?: () => void
}

const DEFAULT_LINES_PER_SECOND = 60

const WINDOW_MS = 1000

/** Requests whose lines are written although the bound is reached: one in this many. */
const SAMPLE_RATE = 16

/** Writes a line for each decision about a request and for each changed belief, a bounded number in a second. */
export class DecisionLog {
  /**
   * Creates a log.
   * @param options - Options of the log.
   */
  static create (options: DecisionLogOptions): DecisionLog {
    return new DecisionLog(options)
  }

  private windowStartMs = -Infinity
  private written = 0
  private dropped = 0

  /** @internal */
  private constructor (private readonly options: DecisionLogOptions) {}

  /**
   * Records a decision that touches a request.
   * @param request - Id of the request.
   * @param decision - What was decided.
   * @param fields - The inputs that decided it, their age or version, and the outcome.
   */
  recordDecision (request: string, decision: string, fields: LogFields = {}): void {
    if (!this.consumeLineQuota() && !isSampled(request)) {
      this.dropped++
      this.options.countDropped?.()
      return
    }
    this.options.logger.info({ request, ...fields }, decision)
  }

  /**
   * Records a change of what this process believes, or of its own state.
   * @param change - What changed.
   * @param fields - What it was concluded from.
   */
  recordStateChange (change: string, fields: LogFields = {}): void {
    this.options.logger.info(fields, change)
  }

  private consumeLineQuota (): boolean {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.windowStartMs >= WINDOW_MS) this.startWindow(nowMs)
    this.written++
    return this.written <= (this.options.maxLinesPerSecond ?? DEFAULT_LINES_PER_SECOND)
  }

  private startWindow (nowMs: number): void {
    if (this.dropped > 0) this.options.logger.warn({ dropped: this.dropped }, 'lines left out')
    this.windowStartMs = nowMs
    this.written = 0
    this.dropped = 0
  }
}

/** The same requests are sampled on every instance, so that their lines stay together. */
function isSampled (request: string): boolean {
  let sum = 0
  for (let index = 0; index < request.length; index++) sum = (sum * 31 + request.charCodeAt(index)) >>> 0
  return sum % SAMPLE_RATE === 0
}
