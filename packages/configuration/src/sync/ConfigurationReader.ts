import { type Clock } from '@fescuespoke/common'
import { type PublishedChange } from '@fescuespoke/schema'
import { type ConfigurationSource } from '../sources/ConfigurationSource.js'
import { type ConfigurationView, type ValuesByKey } from '../view/ConfigurationView.js'
import { type SourceMonitor } from './SourceMonitor.js'

/** Options of a reader of the configuration service. */
export interface ConfigurationReaderOptions {
  readonly view: ConfigurationView
  readonly source: ConfigurationSource
  readonly clock: Clock
  readonly monitor: SourceMonitor
}

/** Reads the configuration service into a view. */
export class ConfigurationReader {
  /**
   * Creates a reader.
   * @param options - Options of the reader.
   */
  static create (options: ConfigurationReaderOptions): ConfigurationReader {
    return new ConfigurationReader(options)
  }

  /** Whether the next read must fetch the whole state. After an unusable answer, a change applied to the view might not result in the current state. */
  private needsSnapshot = true

  /** @internal */
  private constructor (private readonly options: ConfigurationReaderOptions) {}

  /**
   * Waits for a change at the service, or reads the whole state when a change is not sufficient.
   * @param waitMs - Maximum time that the service waits for a change, in milliseconds.
   * @param signal - Cancels the request.
   * @returns Whether the answer was usable.
   */
  async readSource (waitMs: number, signal: AbortSignal): Promise<boolean> {
    if (this.needsSnapshot || this.options.view.getRevision() === 0) return await this.readSnapshot(signal)
    return await this.readChange(waitMs, signal)
  }

  private async readSnapshot (signal: AbortSignal): Promise<boolean> {
    const sentAtMs = this.options.clock.nowMs()
    const answer = await this.options.source.fetchSnapshot(signal)
    if (answer.isErr) return this.reportProblem(answer.error.detail, signal)
    return this.updateView(answer.value.values, answer.value.revision, sentAtMs, signal)
  }

  private async readChange (waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { view, source, clock } = this.options
    const sentAtMs = clock.nowMs()
    const base = view.getValues()
    const after = view.getRevision()
    const answer = await source.fetchChange(after, waitMs, signal)
    if (answer.isErr) return this.reportProblem(answer.error.detail, signal)
    const { revision } = answer.value
    if (revision > after) return this.updateView(applyChange(base, answer.value), revision, sentAtMs, signal)
    if (revision < after) return this.reportOlderRevision(revision, signal)
    view.recordConfirmation(revision, sentAtMs)
    return this.reportUsable()
  }

  private updateView (values: ValuesByKey, revision: number, sentAtMs: number, signal: AbortSignal): boolean {
    const outcome = this.options.view.update(values, revision, 'configuration service', { sentAtMs })
    if (outcome === 'older') return this.reportOlderRevision(revision, signal)
    if (outcome === 'conflicting') return this.reportProblem(`serves different values under the accepted revision ${revision}`, signal)
    return this.reportUsable()
  }

  private reportOlderRevision (revision: number, signal: AbortSignal): boolean {
    const accepted = this.options.view.getRevision()
    return this.reportProblem(`serves revision ${revision}, lower than the accepted ${accepted}`, signal)
  }

  private reportProblem (problem: string, signal: AbortSignal): boolean {
    this.needsSnapshot = true
    if (!signal.aborted) this.options.monitor.recordOutcome(problem)
    return false
  }

  private reportUsable (): boolean {
    this.needsSnapshot = false
    this.options.monitor.recordOutcome()
    return true
  }
}

function applyChange (base: ValuesByKey, change: PublishedChange): ValuesByKey {
  const values: Record<string, string> = { ...base }
  for (const { key, value } of change.changed) {
    if (value === undefined) Reflect.deleteProperty(values, key)
    else values[key] = value
  }
  return values
}
