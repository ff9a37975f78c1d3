import { type Clock, type Target } from '@fescuespoke/common'
import { type InstanceListView } from '@fescuespoke/configuration'
import { type TargetState } from '@fescuespoke/schema'
import { type TargetGate } from '../dispatch/RequestRunner.js'
import { type TargetClient } from './TargetClient.js'

/** Options of an evidence gate. */
export interface EvidenceGateOptions {
  readonly clock: Clock
  readonly list: InstanceListView
  readonly targetClient: TargetClient
  /** Age in milliseconds at which evidence has to be renewed. */
  readonly evidenceMs: number
  /** Gets the latest report of a target. */
  readonly getReport: (target: string) => { readonly report: TargetState, readonly sentAtMs: number } | undefined
  /** Takes a report that the gate asked for. */
  readonly observeReport: (target: string, report: TargetState, sentAtMs: number) => void
  /** Renews the instance list from the platform or peers. */
  readonly refreshList: () => Promise<void>
}

/** Lets work pass to targets whose evidence is recent and says that they take work. */
export class EvidenceGate implements TargetGate {
  /**
   * Creates a gate.
   * @param options - Options of the gate.
   */
  static create (options: EvidenceGateOptions): EvidenceGate {
    return new EvidenceGate(options)
  }

  /** @internal */
  private constructor (private readonly options: EvidenceGateOptions) {}

  /**
   * Tells whether recent evidence says that the target takes work.
   * @param target - The target.
   */
  isOpen (target: Target): boolean {
    if (this.isLeaving(target)) return false
    return this.getAgeMs(target) <= this.options.evidenceMs
  }

  /**
   * Renews the evidence of a target and tells whether it takes work.
   * @param target - The target.
   */
  async confirmOpen (target: Target): Promise<boolean> {
    if (this.isLeaving(target)) return false
    await Promise.all([this.options.refreshList(), this.refreshReport(target)])
    return this.isOpen(target)
  }

  /**
   * Gets the age of the youngest evidence in milliseconds.
   * @param target - The target.
   */
  getAgeMs (target: Target): number {
    const report = this.options.getReport(target.name)
    const reportAgeMs = report === undefined ? Infinity : this.options.clock.nowMs() - report.sentAtMs
    return Math.min(reportAgeMs, this.options.list.getTargetState(target.name).ageMs)
  }

  private isLeaving (target: Target): boolean {
    if (this.options.list.getTargetState(target.name).state === 'leaving') return true
    return this.options.getReport(target.name)?.report.state === 'leaving'
  }

  private async refreshReport (target: Target): Promise<void> {
    const sentAtMs = this.options.clock.nowMs()
    const report = await this.options.targetClient.fetchState(target)
    if (report.isOk) this.options.observeReport(target.name, report.value, sentAtMs)
  }
}
