import { Caller } from '@fescuespoke/caller'
import { pickIndex, type Random, SeededRandom } from '@fescuespoke/common'
import { type DeploymentSpec } from '@fescuespoke/standins'
import { type ResultChecker } from './ResultChecker.js'

/** Limits of the answer length in the demo, in tokens. */
const MIN_ANSWER_TOKENS = 5
const MAX_ANSWER_TOKENS = 80

/** Options of a load generator. */
export interface LoadGeneratorOptions {
  readonly spec: DeploymentSpec
  readonly bootstrapUrls: readonly string[]
  readonly resultChecker: ResultChecker
  readonly seed: number
  /** Number of concurrent requests of each workspace. */
  readonly concurrentRequestsPerWorkspace: number
}

/** Sends calls and generations from one caller per workspace until it is stopped. */
export class LoadGenerator {
  /**
   * Starts a load generator.
   * @param options - Options of the load generator.
   */
  static start (options: LoadGeneratorOptions): LoadGenerator {
    return new LoadGenerator(options)
  }

  private readonly random: Random
  private readonly tasks: Array<Promise<void>> = []
  private readonly callers: Caller[] = []
  private isStopped = false
  private sentCount = 0

  /** @internal */
  private constructor (private readonly options: LoadGeneratorOptions) {
    this.random = SeededRandom.create(options.seed)
    for (const { name } of options.spec.workspaces) this.startCaller(name)
  }

  /** Sends no further requests, waits for those in progress and closes the callers. */
  async stop (): Promise<void> {
    this.isStopped = true
    await Promise.all(this.tasks)
    await Promise.all(this.callers.map(async caller => await caller.close()))
  }

  private startCaller (workspace: string): void {
    const caller = Caller.create({ bootstrapUrls: this.options.bootstrapUrls, workspace })
    this.callers.push(caller)
    for (let index = 0; index < this.options.concurrentRequestsPerWorkspace; index++) this.tasks.push(this.runRequests(caller))
  }

  private async runRequests (caller: Caller): Promise<void> {
    while (!this.isStopped) {
      const service = this.options.spec.services[pickIndex(this.random, this.options.spec.services.length)]
      if (service?.runs === undefined) await this.call(caller, service?.name ?? '')
      else await this.generate(caller, service.name)
    }
  }

  private async generate (caller: Caller, service: string): Promise<void> {
    const tokens = MIN_ANSWER_TOKENS + pickIndex(this.random, MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS)
    const answer = caller.generate({ service, prompt: createPrompt(tokens, ++this.sentCount) })
    this.options.resultChecker.recordGeneration(await answer.wait(), tokens)
  }

  private async call (caller: Caller, service: string): Promise<void> {
    const name = `call ${++this.sentCount}`
    const answer = caller.call({ service, body: { name } })
    this.options.resultChecker.recordCall(name, await answer.wait())
  }
}

function createPrompt (tokens: number, requestNumber: number): string {
  return `answer of ${tokens} tokens, request ${requestNumber}`
}

/**
 * Returns the answer length in tokens that a prompt of the load generator requests, or the minimum length if the prompt
 * contains none.
 * @param prompt - The prompt.
 */
export function parseAnswerTokens (prompt: string): number {
  return Number(/answer of (\d+) tokens/.exec(prompt)?.[1] ?? MIN_ANSWER_TOKENS)
}
