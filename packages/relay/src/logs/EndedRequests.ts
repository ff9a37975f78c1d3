import { isCut, type RelayOutcome } from './RelayOutcome.js'

/** Requests that ended since a time: how many by outcome, and ids of those that were cut. */
export interface EndedRequestsSummary {
  /** Number of the requests that have no complete answer, by outcome. */
  readonly cut: Readonly<Partial<Record<RelayOutcome, number>>>
  /** Ids of some of them, by outcome. */
  readonly requests: Readonly<Partial<Record<RelayOutcome, readonly string[]>>>
  /** Number of requests that were refused because this instance stops. */
  readonly refused: number
}

/** Maximum number of ids that are kept of an outcome. */
const MAX_IDS = 8

/** Counts the requests that end while this instance stops. */
export class EndedRequests {
  /** Creates a count that is not started. */
  static create (): EndedRequests {
    return new EndedRequests()
  }

  private isStarted = false
  private refused = 0
  private readonly cut = new Map<RelayOutcome, { count: number, readonly ids: string[] }>()

  /** @internal */
  private constructor () {}

  /** Starts to count. */
  start (): void {
    this.isStarted = true
  }

  /**
   * Counts a request that has ended.
   * @param outcome - Its outcome.
   * @param request - Its id.
   */
  recordEnd (outcome: RelayOutcome, request: string): void {
    if (!this.isStarted) return
    if (outcome === 'stopping') this.refused++
    if (isCut(outcome)) this.recordCut(outcome, request)
  }

  /** Returns the requests that have ended since the start. */
  getSummary (): EndedRequestsSummary {
    const outcomes = [...this.cut]
    return {
      cut: Object.fromEntries(outcomes.map(([outcome, { count }]) => [outcome, count])),
      requests: Object.fromEntries(outcomes.map(([outcome, { ids }]) => [outcome, ids])),
      refused: this.refused
    }
  }

  private recordCut (outcome: RelayOutcome, request: string): void {
    const entry = this.cut.get(outcome) ?? { count: 0, ids: [] }
    this.cut.set(outcome, entry)
    entry.count++
    if (entry.ids.length < MAX_IDS) entry.ids.push(request)
  }
}
