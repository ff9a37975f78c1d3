import { type AnswerResult } from '@fescuespoke/caller'
import { type Outcome } from '@fescuespoke/schema'

/** Counts of one demo; the last line of its output is made from them. */
export interface DemoCounts extends Record<Outcome, number> {
  readonly requests: number
  /**
   * Number of violations: complete answers that are not one whole generation in order, calls with outcome `notRun` that
   * a target executed, and complete calls that no target executed.
   */
  readonly broken: number
  /** Number of repeated executions of calls at targets. */
  readonly doubled: number
}

/** Counts outcomes and checks them against the calls and generations that the targets executed. */
export class ResultChecker {
  /** Creates a checker without results. */
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
   * Records the result of a generation.
   * @param result - The result.
   * @param expectedTokens - Length of the complete answer in tokens.
   */
  recordGeneration (result: AnswerResult, expectedTokens: number): void {
    this.recordOutcome(result)
    if (result.outcome === 'complete' && !isCompleteGeneration(result.tokens, expectedTokens)) {
      this.violations.push(`not one complete generation: received ${result.tokens.length} tokens, expected ${expectedTokens}; first tokens: ${result.tokens.slice(0, 3).join(' ')}`)
    }
  }

  /**
   * Records the result of a call.
   * @param name - Name of the call in its body.
   * @param result - The result.
   */
  recordCall (name: string, result: AnswerResult): void {
    this.recordOutcome(result)
    this.callOutcomes.set(name, result.outcome)
  }

  /**
   * Compares the outcomes with the calls that targets executed and returns the counts.
   * @param executedCalls - Names of the executed calls; a call that was executed twice is listed twice.
   */
  computeCounts (executedCalls: readonly string[]): DemoCounts {
    const executed = new Set(executedCalls)
    for (const [name, outcome] of this.callOutcomes) {
      if (outcome === 'notRun' && executed.has(name)) this.violations.push(`${name} was executed although its outcome is notRun`)
      if (outcome === 'complete' && !executed.has(name)) this.violations.push(`${name} was not executed although its outcome is complete`)
    }
    return { requests: this.requests, ...this.outcomes, broken: this.violations.length, doubled: executedCalls.length - executed.size }
  }

  /** Returns descriptions of the violations found so far. */
  listViolations (): readonly string[] {
    return this.violations
  }

  private recordOutcome (result: AnswerResult): void {
    this.requests++
    this.outcomes[result.outcome]++
  }
}

/** Returns whether the tokens are one generation in order. A token of a stand-in engine is `<generation>:<offset>`. */
function isCompleteGeneration (tokens: readonly string[], expectedTokens: number): boolean {
  const generation = tokens[0]?.slice(0, tokens[0].lastIndexOf(':'))
  return tokens.length === expectedTokens && tokens.every((token, offset) => token === `${generation ?? ''}:${offset}`)
}
