import { addJitter, type AuditTrail, type Clock, type Random } from '@fescuespoke/common'
import { type ConfigurationSource, type ConfigurationView, type InstanceListSource, type InstanceListView } from '@fescuespoke/configuration'

/** Longest wait of one read that waits for a change, in milliseconds. */
const WATCH_MS = 1000

/** Pause after a read that failed, in milliseconds. */
const RETRY_PAUSE_MS = 500

/** Options of a view follower. */
export interface ViewFollowerOptions {
  readonly configurationSource: ConfigurationSource
  readonly listSource: InstanceListSource
  readonly configuration: ConfigurationView
  readonly list: InstanceListView
  readonly clock: Clock
  readonly random: Random
  readonly audit: AuditTrail
}

/** Keeps the configuration and the instance list up to date, one task for each. */
export class ViewFollower {
  /**
   * Creates a follower.
   * @param options - Options of the follower.
   */
  static create (options: ViewFollowerOptions): ViewFollower {
    return new ViewFollower(options)
  }

  private readonly stopping = new AbortController()

  /** @internal */
  private constructor (private readonly options: ViewFollowerOptions) {}

  /** Starts both tasks. */
  start (): void {
    this.followConfiguration()
    this.followList()
  }

  /** Stops both tasks. */
  stop (): void {
    this.stopping.abort()
  }

  /** Reads the instance list once. */
  async refreshList (): Promise<void> {
    await this.readList(0)
  }

  private async followConfiguration (): Promise<void> {
    const { configuration, configurationSource } = this.options
    const { signal } = this.stopping
    let known = -1
    while (!signal.aborted) {
      if (known !== configuration.getRevision()) {
        const sentAtMs = this.options.clock.nowMs()
        const snapshot = await configurationSource.fetchSnapshot(signal)
        if (snapshot.isOk) configuration.offer(snapshot.value.values, snapshot.value.revision, 'configuration service', { sentAtMs })
        known = snapshot.isOk ? configuration.getRevision() : -1
        if (snapshot.isErr) await this.pause()
      } else {
        const change = await configurationSource.fetchChange(known, WATCH_MS, signal)
        if (change.isErr) await this.pause()
        else if (change.value.revision > known) known = -1
      }
    }
  }

  private async followList (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      if (!await this.readList(WATCH_MS)) await this.pause()
    }
  }

  private async readList (waitMs: number): Promise<boolean> {
    const { list, listSource, clock } = this.options
    const sentAtMs = clock.nowMs()
    const read = await listSource.fetchList(waitMs === 0 ? 0 : list.getVersion(), waitMs, this.stopping.signal)
    if (read.isOk) list.offer(read.value, 'instance list', sentAtMs)
    return read.isOk
  }

  private async pause (): Promise<void> {
    const { clock, random } = this.options
    await clock.sleep(addJitter(random, RETRY_PAUSE_MS), this.stopping.signal)
  }
}
