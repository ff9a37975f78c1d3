import { type LeavingTargetNews } from '@fescuespoke/schema'
import { type ColdTargets } from '../limits/ColdTargets.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetIncarnation } from './LeavingTargets.js'
import { type TargetBackoffs } from './TargetBackoffs.js'
import { type TargetNotice } from './TargetNotice.js'
import { type TargetTable } from './TargetTable.js'

/** Options of target notices. */
export interface TargetNoticesOptions {
  readonly table: TargetTable
  readonly backoffs: TargetBackoffs
  readonly coldTargets: ColdTargets
  readonly log: DecisionLog
}

/** Applies what targets state about themselves in their answers, and tells peers of it. */
export class TargetNotices {
  /**
   * Creates a handler of notices.
   * @param options - Options of the handler.
   */
  static create (options: TargetNoticesOptions): TargetNotices {
    return new TargetNotices(options)
  }

  /** Functions that apply the notices of each kind. */
  private readonly handlers: { readonly [Kind in TargetNotice['kind']]: (target: RelayTarget, notice: Extract<TargetNotice, { kind: Kind }>) => void } = {
    leaving: target => this.markLeaving(target, 'answer', 0),
    backoff: (target, notice) => this.options.backoffs.recordBackoff(target, notice),
    cold: (target, { remainingMs }) => this.options.coldTargets.recordAnswer(target, remainingMs)
  }

  /** @internal */
  private constructor (private readonly options: TargetNoticesOptions) {}

  /**
   * Applies a notice in an answer.
   * @param target - The target that answered.
   * @param notice - The notice.
   */
  handleNotice (target: RelayTarget, notice: TargetNotice): void {
    const handle = this.handlers[notice.kind] as (target: RelayTarget, notice: TargetNotice) => void
    handle(target, notice)
  }

  /** Lists the targets of whose shutdown peers are told. */
  listLeavingNews (): LeavingTargetNews[] {
    return this.options.table.listLeavingNews()
  }

  /**
   * Takes over the shutdowns that a peer reported.
   * @param peer - Name of the peer.
   * @param news - Reported shutdowns.
   */
  mergeLeavingNews (peer: string, news: readonly LeavingTargetNews[]): void {
    for (const { target, startedAtMs, ageMs } of news) this.markLeaving({ name: target, startedAtMs }, peer, ageMs)
  }

  private markLeaving (incarnation: TargetIncarnation, source: string, ageMs: number): void {
    const isNew = this.options.table.markLeaving(incarnation, ageMs)
    if (isNew) this.options.log.recordStateChange('target states that it leaves', { target: incarnation.name, startedAtMs: incarnation.startedAtMs, source, ageMs })
  }
}
