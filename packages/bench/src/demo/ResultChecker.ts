import { type AnswerResult } from '@fescuespoke/caller'
import { type Outcome } from '@fescuespoke/schema'

/** Counts of one demo, as its last line shows them. */
export interface DemoCounts extends Record<Outcome, number> {
  readonly requests: number
  /** Complete answers that are not one whole generation in order, and refused calls that ran. */
  readonly broken: number
  /** Calls that reached targets more than once. */
  readonly doubled: number
}

/** Counts outcomes and checks answers against what the targets did. */
export class ResultChecker {
  /** Creates an empty tally. */
  static create (): ResultChecker {
    return new ResultChecker()
  }

  private readonly outcomes: Record<Outcome, number> = { complete: 0, notRun: 0, unknown: 0, failed: 0, cancelled: 0 }
  private readonly callOutcomes = new Map<string, Outcome>()
  private readonly violations: string[] = []
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
    if (result.outcome === 'complete' && !isCompleteGeneration(result.tokens, expectedTokens)) {
      this.violations.push(`an answer of ${result.tokens.length} tokens instead of ${expectedTokens}: ${result.tokens.slice(0, 3).join(' ')}`)
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
   * @param executedCalls - Names of the calls in the order in which targets ran them.
   */
  computeCounts (executedCalls: readonly string[]): DemoCounts {
    const executed = new Set(executedCalls)
    for (const [name, outcome] of this.callOutcomes) {
      if (outcome === 'notRun' && executed.has(name)) this.violations.push(`${name} ran although it was refused`)
      if (outcome === 'complete' && !executed.has(name)) this.violations.push(`${name} did not run although it is complete`)
    }
    return { requests: this.requests, ...this.outcomes, broken: this.violations.length, doubled: executedCalls.length - executed.size }
  }

  /** Lists what is wrong, for people. */
  listViolations (): readonly string[] {
    return this.violations
  }

  private recordOutcome (result: AnswerResult): void {
    this.requests++
    this.outcomes[result.outcome]++
  }
}

/** Tokens of the stand-in engines name their generation and offset. */
function isCompleteGeneration (tokens: readonly string[], expectedTokens: number): boolean {
  const generation = tokens[0]?.slice(0, tokens[0].lastIndexOf(':'))
  return tokens.length === expectedTokens && tokens.every((token, offset) => token === `${generation ?? ''}:${offset}`)
}
