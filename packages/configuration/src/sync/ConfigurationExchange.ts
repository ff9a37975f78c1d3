import { type Clock, type PeerMessageOf, type PeerTransport } from '@fescuespoke/common'
import { type ValuesAnswer } from '@fescuespoke/schema'
import { computeDigest } from '../view/computeDigest.js'
import { type ConfigurationView, type ValuesByKey } from '../view/ConfigurationView.js'
import { type SourceMonitor } from './SourceMonitor.js'

/** Options of the exchange of values with peers. */
export interface ConfigurationExchangeOptions {
  readonly view: ConfigurationView
  readonly transport: PeerTransport
  readonly clock: Clock
  /** Records that peers have different values under the same revision. */
  readonly monitor: SourceMonitor
}

/** Maximum time to wait for one page of a peer's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2000

/** Size at which a page of an answer ends, in characters. The value that reaches it is still included. */
const PAGE_CHARACTERS = 1_500_000

/** Maximum number of pages of an answer. */
const MAX_PAGES = 1000

interface CollectedValues {
  readonly values: ValuesByKey
  readonly answer: ValuesAnswer
  readonly sentAtMs: number
}

/** Exchanges published values with peers, so that a revision also reaches instances that do not read the platform. */
export class ConfigurationExchange {
  /**
   * Creates an exchange, which answers requests of peers immediately.
   * @param options - Options of the exchange.
   */
  static create (options: ConfigurationExchangeOptions): ConfigurationExchange {
    return new ConfigurationExchange(options)
  }

  /** @internal */
  private constructor (private readonly options: ConfigurationExchangeOptions) {
    options.transport.setHandler('valuesRequest', message => this.handleValuesRequest(message))
  }

  /**
   * Polls a peer for a higher revision, and updates the view with it.
   * @param instance - Name of the peer.
   * @returns True when the peer confirmed the accepted revision or sent a higher one.
   */
  async pollPeer (instance: string): Promise<boolean> {
    const { view } = this.options
    const localRevision = view.getRevision()
    const localDigest = view.getDigest()
    const collected = await this.collectValues(instance, localRevision, view.getValues())
    if (collected === undefined || collected.answer.revision < Math.max(1, localRevision)) return false
    if (collected.answer.revision === localRevision) return this.confirmRevision(instance, collected, localDigest)
    if (isComplete(collected)) return this.applyCollected(instance, collected)
    const complete = await this.collectValues(instance, 0, {})
    return complete !== undefined && isComplete(complete) && this.applyCollected(instance, complete)
  }

  private confirmRevision (instance: string, { answer, sentAtMs }: CollectedValues, localDigest: string): boolean {
    const { view, monitor } = this.options
    if (answer.digest !== undefined && answer.digest !== localDigest) return this.reportConflict(instance, answer.revision)
    if (answer.revision === view.getRevision()) view.applyKeptRecords(answer.kept ?? [], `peer ${instance}`)
    view.recordConfirmation(answer.revision, sentAtMs - (answer.ageMs ?? Infinity))
    monitor.recordOutcome()
    return answer.ageMs !== undefined
  }

  private applyCollected (instance: string, { values, answer, sentAtMs }: CollectedValues): boolean {
    const { view } = this.options
    const confirmedAtMs = sentAtMs - (answer.ageMs ?? Infinity)
    const outcome = view.update(values, answer.revision, `peer ${instance}`, { sentAtMs: confirmedAtMs, kept: answer.kept ?? [] })
    if (outcome === 'conflicting') return this.reportConflict(instance, answer.revision)
    return outcome !== 'older' && answer.ageMs !== undefined
  }

  private reportConflict (instance: string, revision: number): boolean {
    this.options.monitor.recordOutcome(`${instance} has different values under revision ${revision}`)
    return false
  }

  private async collectValues (instance: string, haveRevision: number, base: ValuesByKey): Promise<CollectedValues | undefined> {
    const { transport, clock, view } = this.options
    const sentAtMs = clock.nowMs()
    const collected: Record<string, string> = {}
    let afterKey: string | undefined
    for (let page = 0; page < MAX_PAGES; page++) {
      const request = { type: 'valuesRequest' as const, haveRevision, keptDigest: view.getKeptDigest() }
      const message = afterKey === undefined ? request : { ...request, afterKey }
      const reply = await transport.request<'valuesAnswer'>(instance, message, ANSWER_TIMEOUT_MS)
      if (reply.isErr) return undefined
      const answer = reply.value
      Object.assign(collected, answer.values)
      if (answer.nextAfterKey === undefined) return { values: mergeValues(answer, collected, base), answer, sentAtMs }
      afterKey = answer.nextAfterKey
    }
    return undefined
  }

  private handleValuesRequest (request: PeerMessageOf<'valuesRequest'>): ValuesAnswer {
    const { view } = this.options
    const ageMs = view.getAgeMs()
    const answer: ValuesAnswer = {
      type: 'valuesAnswer',
      revision: view.getRevision(),
      digest: view.getDigest(),
      values: {},
      ...(ageMs === Infinity ? {} : { ageMs: Math.ceil(ageMs) }),
      ...(request.keptDigest === view.getKeptDigest() ? {} : { kept: [...view.listKept()] })
    }
    if (request.haveRevision >= view.getRevision()) return answer
    const changes = view.getHistory().findChanges(request.haveRevision)
    const keys = changes?.changed ?? Object.keys(view.getValues()).sort()
    const base = changes === undefined ? {} : { baseRevision: request.haveRevision, deleted: [...changes.deleted] }
    return { ...answer, ...base, ...this.pickPage(keys, request.afterKey) }
  }

  private pickPage (keys: readonly string[], afterKey: string | undefined): Pick<ValuesAnswer, 'values' | 'nextAfterKey'> {
    const all = this.options.view.getValues()
    const remainingKeys = afterKey === undefined ? keys : keys.filter(key => key > afterKey)
    const values: Record<string, string> = {}
    let characters = 0
    for (const key of remainingKeys) {
      const text = all[key] as string
      values[key] = text
      characters += key.length + text.length
      if (characters >= PAGE_CHARACTERS && key !== remainingKeys.at(-1)) return { values, nextAfterKey: key }
    }
    return { values }
  }
}

function isComplete ({ values, answer }: CollectedValues): boolean {
  return answer.digest === undefined || computeDigest(values) === answer.digest
}

function mergeValues (answer: ValuesAnswer, collected: ValuesByKey, base: ValuesByKey): ValuesByKey {
  if (answer.baseRevision === undefined) return collected
  const merged = { ...base, ...collected }
  for (const key of answer.deleted ?? []) Reflect.deleteProperty(merged, key)
  return merged
}
