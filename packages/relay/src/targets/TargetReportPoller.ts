import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type TargetGateway } from './TargetGateway.js'
import { type TrackedTarget, type TargetTable } from './TargetTable.js'

/** Options of a target report poller. */
export interface TargetReportPollerOptions {
  readonly clock: Clock
  readonly gateway: Pick<TargetGateway, 'fetchReport'>
  readonly table: TargetTable
  readonly log: DecisionLog
  /** Returns whether the view of the published keys may be out of date. */
  readonly isViewStale: () => boolean
  /** Lists the names of the targets that run generations of this instance. */
  readonly listTargets: () => readonly string[]
}

/** Interval at which engines are polled and maximum time to wait for one report, in milliseconds. */
export const POLL_INTERVAL_MS = 250
export const REPORT_TIMEOUT_MS = 400

/** Polls the engines that run generations of this instance for a planned shutdown while the store does not answer. */
export class TargetReportPoller {
  /**
   * Creates a poller that is not running.
   * @param options - Options of the poller.
   */
  static create (options: TargetReportPollerOptions): TargetReportPoller {
    return new TargetReportPoller(options)
  }

  private readonly stopController = new AbortController()
  private readonly pendingTargets = new Set<string>()
  private wasStale = false

  /** @internal */
  private constructor (private readonly options: TargetReportPollerOptions) {}

  /** Polls until stopped. */
  async run (): Promise<void> {
    while (!this.stopController.signal.aborted) {
      await this.options.clock.sleep(POLL_INTERVAL_MS, this.stopController.signal)
      if (!this.stopController.signal.aborted && this.updateStaleness()) this.pollTargets()
    }
  }

  /** Stops polling. */
  stop (): void {
    this.stopController.abort()
  }

  private updateStaleness (): boolean {
    const { isViewStale, log } = this.options
    const isStale = isViewStale()
    if (isStale !== this.wasStale) log.recordStateChange(isStale ? 'engines are asked themselves' : 'engines are no longer asked')
    this.wasStale = isStale
    return isStale
  }

  private pollTargets (): void {
    for (const name of this.options.listTargets()) {
      const tracked = this.options.table.getTracked(name)
      if (tracked !== undefined && tracked.state !== 'leaving' && !this.pendingTargets.has(name)) this.pollTarget(tracked)
    }
  }

  private async pollTarget ({ target }: TrackedTarget): Promise<void> {
    const { gateway, table, log } = this.options
    this.pendingTargets.add(target.name)
    const report = await gateway.fetchReport(target, REPORT_TIMEOUT_MS)
    this.pendingTargets.delete(target.name)
    if (report.isErr || !report.value.isLeaving) return
    log.recordStateChange('target reports that it leaves', { target: target.name, leavesInMs: report.value.leavesInMs })
    table.markLeaving(target)
  }
}
