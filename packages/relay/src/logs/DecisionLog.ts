import { type Clock, type Logger } from '@fescuespoke/common'
import { LeftOutLines } from './LeftOutLines.js'
import { type LineKind, LineQuota } from './LineQuota.js'

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>

/** Options of a decision log. */
export interface DecisionLogOptions {
  readonly logger: Logger
  readonly clock: Clock
  /** Maximum number of lines about requests per second, of failures and of others; further lines are dropped and counted. */
  readonly maxLinesPerSecond?: number
  /** Called when a line was dropped. */
  readonly countDropped?: () => void
}

const DEFAULT_LINES_PER_SECOND = 60

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

  private readonly quota: LineQuota
  private readonly leftOut = LeftOutLines.create()

  /** @internal */
  private constructor (private readonly options: DecisionLogOptions) {
    const { clock, maxLinesPerSecond = DEFAULT_LINES_PER_SECOND } = options
    this.quota = LineQuota.create({ clock, maxLinesPerSecond, handleWindow: () => this.recordLeftOut() })
  }

  /**
   * Logs a decision about a request.
   * @param request - Id of the request.
   * @param decision - Message that names the decision.
   * @param fields - Inputs of the decision, their age or version, and the outcome.
   * @param kind - Whether the request fails with it, or may have run without an answer.
   */
  recordDecision (request: string, decision: string, fields: LogFields = {}, kind: LineKind = 'ordinary'): void {
    const isFailure = kind === 'failure'
    if (!this.quota.takeLine(kind) && !isSampled(request)) {
      this.leftOut.addLine({ request, decision, isFailure })
      this.options.countDropped?.()
      return
    }
    this.options.logger[isFailure ? 'warn' : 'info']({ request, ...fields }, decision)
  }

  /**
   * Logs a change in the state of this process or in its view of others.
   * @param change - Message that names the change.
   * @param fields - Data from which the change was derived.
   */
  recordStateChange (change: string, fields: LogFields = {}): void {
    this.options.logger.info(fields, change)
  }

  /**
   * Logs what is known when this process ends, after how many lines were left out; goes before ordinary lines that wait for their reader.
   * @param end - Message that names the end.
   * @param fields - What is known.
   */
  recordEnd (end: string, fields: LogFields): void {
    this.recordLeftOut()
    this.options.logger.warn(fields, end)
  }

  /** Logs how many lines were left out, when the second in which they were is over. */
  runMaintenance (): void {
    this.quota.updateWindow()
  }

  /** Logs how many lines were left out since the last line that said so. */
  recordLeftOut (): void {
    const summary = this.leftOut.takeSummary()
    if (summary !== undefined) this.options.logger.warn(summary, 'lines left out')
  }
}

/** Returns whether a request is sampled; all instances sample the same requests, so that their lines can be correlated. */
function isSampled (request: string): boolean {
  let sum = 0
  for (let index = 0; index < request.length; index++) sum = (sum * 31 + request.charCodeAt(index)) >>> 0
  return sum % SAMPLE_RATE === 0
}
