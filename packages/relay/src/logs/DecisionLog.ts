import { type Clock, type Logger } from '@fescuespoke/common'

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>

/** Options of a decision log. */
export interface DecisionLogOptions {
  readonly logger: Logger
  readonly clock: Clock
  /** Maximum number of lines about requests per second; further lines are dropped and counted. */
  readonly maxLinesPerSecond?: number
  /** Called when a line was dropped. */
  readonly countDropped?: () => void
}

const DEFAULT_LINES_PER_SECOND = 60

const WINDOW_MS = 1000

/** One in this many requests is logged even when the limit is reached. */
const SAMPLE_RATE = 16

/** Logs decisions about requests, at a limited rate, and changes of state. */
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
   * Logs a decision about a request.
   * @param request - Id of the request.
   * @param decision - Message that names the decision.
   * @param fields - Inputs of the decision, their age or version, and the outcome.
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
   * Logs a change in the state of this process or in its view of others.
   * @param change - Message that names the change.
   * @param fields - Data from which the change was derived.
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

/** Returns whether a request is sampled; all instances sample the same requests, so that their lines can be correlated. */
function isSampled (request: string): boolean {
  let sum = 0
  for (let index = 0; index < request.length; index++) sum = (sum * 31 + request.charCodeAt(index)) >>> 0
  return sum % SAMPLE_RATE === 0
}
