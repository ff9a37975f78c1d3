import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTargetClient } from './RelayTargetClient.js'
import { type KnownTarget, type TargetTable } from './TargetTable.js'

/** Options of a report watch. */
export interface ReportWatchOptions {
  readonly clock: Clock
  readonly client: RelayTargetClient
  readonly table: TargetTable
  readonly log: DecisionLog
  /** Tells whether what is published may be out of date. */
  readonly isViewDoubtful: () => boolean
  /** Lists the names of the targets that have generations of this instance. */
  readonly listTargets: () => readonly string[]
}

/** Interval at which engines are asked, and longest wait for one answer, in milliseconds. */
const ASK_INTERVAL_MS = 250
const ANSWER_MS = 400

/** While the store does not answer, asks the engines that run something of this instance whether they are about to leave. */
export class ReportWatch {
  /**
   * Creates a watch that does not run yet.
   * @param options - Options of the watch.
   */
  static create (options: ReportWatchOptions): ReportWatch {
    return new ReportWatch(options)
  }

  private readonly stopping = new AbortController()
  private readonly asked = new Set<string>()
  private wasDoubtful = false

  /** @internal */
  private constructor (private readonly options: ReportWatchOptions) {}

  /** Asks until stopped. */
  async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.options.clock.sleep(ASK_INTERVAL_MS, this.stopping.signal)
      if (!this.stopping.signal.aborted && this.observeDoubt()) this.askTargets()
    }
  }

  /** Stops asking. */
  stop (): void {
    this.stopping.abort()
  }

  private observeDoubt (): boolean {
    const { isViewDoubtful, log } = this.options
    const isDoubtful = isViewDoubtful()
    if (isDoubtful !== this.wasDoubtful) log.recordBelief(isDoubtful ? 'engines are asked themselves' : 'engines are no longer asked')
    this.wasDoubtful = isDoubtful
    return isDoubtful
  }

  private askTargets (): void {
    for (const name of this.options.listTargets()) {
      const known = this.options.table.getKnown(name)
      if (known !== undefined && known.state !== 'leaving' && !this.asked.has(name)) this.askTarget(known)
    }
  }

  private async askTarget ({ target }: KnownTarget): Promise<void> {
    const { client, table, log } = this.options
    this.asked.add(target.name)
    const report = await client.fetchReport(target, ANSWER_MS)
    this.asked.delete(target.name)
    if (report.isErr || !report.value.isLeaving) return
    log.recordBelief('target reports that it leaves', { target: target.name, leavesInMs: report.value.leavesInMs })
    table.observeLeaving(target)
  }
}
