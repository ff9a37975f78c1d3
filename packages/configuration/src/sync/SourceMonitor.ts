import { type AuditTrail } from '@fescuespoke/common'

/** Options of a source monitor. */
export interface SourceMonitorOptions {
  readonly audit: AuditTrail
  /** Name of the source, as shown in audit events. */
  readonly subject: string
  readonly getRevision: () => number
}

/** Records an audit event when a source stops returning usable answers, and when it returns them again. */
export class SourceMonitor {
  /**
   * Creates a monitor that initially assumes its source to be usable.
   * @param options - Options of the monitor.
   */
  static create (options: SourceMonitorOptions): SourceMonitor {
    return new SourceMonitor(options)
  }

  private problem: string | undefined

  /** @internal */
  private constructor (private readonly options: SourceMonitorOptions) {}

  /** Returns whether the last answer was unusable. */
  hasProblem (): boolean {
    return this.problem !== undefined
  }

  /**
   * Records whether an answer of the source was usable.
   * @param problem - Why the answer is unusable; absent for a usable answer.
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
