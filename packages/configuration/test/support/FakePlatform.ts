import { type Clock } from '@fescuespoke/common'
import { type ListedEntry, type PublishedChange, type PublishedList, type PublishedValues } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type ConfigurationSource, type InstanceListSource, type SourceError } from '../../src/index.js'

/** Latency of a request or an answer, in milliseconds. */
const LATENCY_MS = 1

/** Simulated platform that publishes records and the instance list. It can be down for some readers and serve old states. */
export class FakePlatform {
  static create (clock: Clock): FakePlatform {
    return new FakePlatform(clock)
  }

  reads = 0
  /** Returns whether the platform answers a reader. */
  isUpFor: (reader: string) => boolean = () => true
  private readonly states: PublishedValues[] = [{ revision: 0, values: {} }]
  private servedIndex: number | undefined
  private list: PublishedList = { version: 0, entries: [] }
  private readonly waiters = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  publish (revision: number, values: Record<string, string>): void {
    this.states.push({ revision, values })
    this.notifyWaiters()
  }

  /** Serves the state at an index until the next call; without an index, the latest state. */
  serveState (index?: number): void {
    this.servedIndex = index
    this.notifyWaiters()
  }

  /** Removes all states after an index, like a service that is restored from a backup. */
  restoreState (index: number): void {
    this.states.splice(index + 1)
    this.notifyWaiters()
  }

  publishList (version: number, entries: ListedEntry[]): void {
    this.list = { version, entries }
    this.notifyWaiters()
  }

  createSource (reader: string): ConfigurationSource {
    return {
      fetchSnapshot: async () => await this.read(reader, () => this.getState()),
      fetchChange: async (after, waitMs, signal) => {
        await this.waitFor(reader, () => this.getState().revision !== after, waitMs, signal)
        return await this.read(reader, () => this.findChange(after))
      }
    }
  }

  createListSource (reader: string): InstanceListSource {
    return {
      fetchList: async (after, waitMs, signal) => {
        await this.waitFor(reader, () => this.list.version !== after, waitMs, signal)
        return await this.read(reader, () => structuredClone(this.list))
      }
    }
  }

  private getState (): PublishedValues {
    return this.states.at(this.servedIndex ?? -1) as PublishedValues
  }

  private findChange (after: number): PublishedChange {
    const { revision, values } = this.getState()
    const before = this.states.findLast(state => state.revision <= after)?.values ?? {}
    const keys = [...new Set([...Object.keys(before), ...Object.keys(values)])].filter(key => before[key] !== values[key])
    const changed = keys.map(key => values[key] === undefined ? { key } : { key, value: values[key] })
    return { revision, changed: revision > after ? changed : [] }
  }

  private async read<T> (reader: string, getValue: () => T): Promise<Result<T, SourceError>> {
    this.reads++
    await this.clock.sleep(LATENCY_MS)
    const answer: Result<T, SourceError> = this.isUpFor(reader) ? Result.ok(getValue()) : Result.err({ kind: 'unreachable', detail: 'down' })
    await this.clock.sleep(LATENCY_MS)
    return answer
  }

  private async waitFor (reader: string, hasChanged: () => boolean, waitMs: number, signal?: AbortSignal): Promise<void> {
    if (!this.isUpFor(reader) || hasChanged() || waitMs === 0) return
    const wakeController = new AbortController()
    const wake = (): void => wakeController.abort()
    this.waiters.add(wake)
    signal?.addEventListener('abort', wake)
    await this.clock.sleep(waitMs, wakeController.signal)
    signal?.removeEventListener('abort', wake)
    this.waiters.delete(wake)
  }

  private notifyWaiters (): void {
    for (const wake of this.waiters) wake()
  }
}
