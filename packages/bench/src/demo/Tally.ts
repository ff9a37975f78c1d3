import { type AnswerResult } from '@fescuespoke/caller'
import { type Outcome } from '@fescuespoke/schema'

/** Counts of one demo, as its last line shows them. */
export interface TallyCounts extends Record<Outcome, number> {
  readonly requests: number
  /** Complete answers that are not one whole generation in order, and refused calls that ran. */
  readonly broken: number
  /** Calls that reached targets more than once. */
  readonly doubled: number
}

/** Counts outcomes and checks answers against what the targets did. */
export class Tally {
  /** Creates an empty tally. */
  static create (): Tally {
    return new Tally()
  }

  private readonly outcomes: Record<Outcome, number> = { complete: 0, notRun: 0, unknown: 0, failed: 0, cancelled: 0 }
  private readonly callOutcomes = new Map<string, Outcome>()
  private readonly faults: string[] = []
  private requests = 0

  /** @internal */
  private constructor () {}

  /**
   * Records the end of a generation.
   * @param result - Its result.
   * @param expectedTokens - Length of the whole answer.
   */
  recordGeneration (result: AnswerResult, expectedTokens: number): void {
    this.recordOutcome(result)
    if (result.outcome === 'complete' && !isWholeGeneration(result.tokens, expectedTokens)) {
      this.faults.push(`an answer of ${result.tokens.length} tokens instead of ${expectedTokens}: ${result.tokens.slice(0, 3).join(' ')}`)
    }
  }

  /**
   * Records the end of a call.
   * @param name - Name of the call in its body.
   * @param result - Its result.
   */
  recordCall (name: string, result: AnswerResult): void {
    this.recordOutcome(result)
    this.callOutcomes.set(name, result.outcome)
  }

  /**
   * Compares outcomes with the calls that targets ran, and counts all.
   * @param ranCalls - Names of the calls in the order in which targets ran them.
   */
  computeCounts (ranCalls: readonly string[]): TallyCounts {
    const ran = new Set(ranCalls)
    for (const [name, outcome] of this.callOutcomes) {
      if (outcome === 'notRun' && ran.has(name)) this.faults.push(`${name} ran although it was refused`)
      if (outcome === 'complete' && !ran.has(name)) this.faults.push(`${name} did not run although it is complete`)
    }
    return { requests: this.requests, ...this.outcomes, broken: this.faults.length, doubled: ranCalls.length - ran.size }
  }

  /** Lists what is wrong, for people. */
  listFaults (): readonly string[] {
    return this.faults
  }

  private recordOutcome (result: AnswerResult): void {
    this.requests++
    this.outcomes[result.outcome]++
  }
}

/** Tokens of the stand-in engines name their generation and offset. */
function isWholeGeneration (tokens: readonly string[], expectedTokens: number): boolean {
  const generation = tokens[0]?.slice(0, tokens[0].lastIndexOf(':'))
  return tokens.length === expectedTokens && tokens.every((token, offset) => token === `${generation ?? ''}:${offset}`)
}
