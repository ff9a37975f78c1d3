/** A line that was left out. */
export interface LeftOutLine {
  /** Id of the request. */
  readonly request: string
  readonly decision: string
  readonly isFailure: boolean
}

/** What is told of the lines that were left out. */
export interface LeftOutSummary {
  readonly dropped: number
  /** Number of the lines of failures by decision, and ids of their requests; absent when there were none. */
  readonly failures?: Readonly<Record<string, number>>
  readonly requests?: readonly string[]
}

/** Maximum number of ids that are told. */
const MAX_IDS = 20

/** Counts lines that were left out, and keeps ids of the requests that failed. */
export class LeftOutLines {
  /** Creates a count of zero. */
  static create (): LeftOutLines {
    return new LeftOutLines()
  }

  private dropped = 0
  private readonly failures = new Map<string, number>()
  private readonly requests = new Set<string>()

  /** @internal */
  private constructor () {}

  /**
   * Counts a line.
   * @param line - The line.
   */
  addLine ({ request, decision, isFailure }: LeftOutLine): void {
    this.dropped++
    if (!isFailure) return
    this.failures.set(decision, (this.failures.get(decision) ?? 0) + 1)
    if (this.requests.size < MAX_IDS) this.requests.add(request)
  }

  /** Returns what was left out since the last call; undefined when there was nothing. */
  takeSummary (): LeftOutSummary | undefined {
    if (this.dropped === 0) return undefined
    const failures = this.failures.size === 0 ? {} : { failures: Object.fromEntries(this.failures), requests: [...this.requests] }
    const summary = { dropped: this.dropped, ...failures }
    this.dropped = 0
    this.failures.clear()
    this.requests.clear()
    return summary
  }
}
