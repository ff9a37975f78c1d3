import { type AuditTrail } from '@fescuespoke/common'

/** Options of a source monitor. */
export interface SourceMonitorOptions {
  readonly audit: AuditTrail
  /** What is read, for operators. */
  readonly subject: string
  readonly getRevision: () => number
}

/** Records when a source stops giving usable answers, and when it gives them again. */
export class SourceMonitor {
  /**
   * Creates a monitor of a source that is taken for usable.
   * @param options - Options of the monitor.
   */
  static create (options: SourceMonitorOptions): SourceMonitor {
    return new SourceMonitor(options)
  }

  private problem: string | undefined

  /** @internal */
  private constructor (private readonly options: SourceMonitorOptions) {}

  /** Tells whether the last answer was of no use. */
  hasProblem (): boolean {
    return this.problem !== undefined
  }

  /**
   * Observes an answer of the source.
   * @param problem - Why the answer is of no use; absent when it is.
   */
  recordOutcome (problem?: string): void {
    const before = this.problem
    this.problem = problem
    if ((before === undefined) === (problem === undefined)) return
    const { audit, subject, getRevision } = this.options
    const kind = problem === undefined ? 'sourceRestored' : 'sourceLost'
    audit.record({ kind, subject, revision: getRevision(), cause: problem ?? `usable again after: ${before}` })
  }
}
