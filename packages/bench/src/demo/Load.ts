import { Caller } from '@fescuespoke/caller'
import { pickIndex, type Random, SeededRandom } from '@fescuespoke/common'
import { type DeploymentShape } from '@fescuespoke/standins'
import { type Tally } from './Tally.js'

/** Shortest and longest answer of the demo, in tokens. */
const MIN_ANSWER_TOKENS = 5
const MAX_ANSWER_TOKENS = 80

/** Options of a load. */
export interface LoadOptions {
  readonly shape: DeploymentShape
  readonly bootstrapUrls: readonly string[]
  readonly tally: Tally
  readonly seed: number
  /** Requests in progress at once for each workspace. */
  readonly requestsPerWorkspace: number
}

/** Callers of every workspace that send both kinds of work until stopped. */
export class Load {
  /**
   * Starts a load.
   * @param options - Options of the load.
   */
  static start (options: LoadOptions): Load {
    return new Load(options)
  }

  private readonly random: Random
  private readonly tasks: Array<Promise<void>> = []
  private readonly callers: Caller[] = []
  private stopped = false
  private sent = 0

  /** @internal */
  private constructor (private readonly options: LoadOptions) {
    this.random = SeededRandom.create(options.seed)
    for (const { name } of options.shape.workspaces) this.startWorkspace(name)
  }

  /** Lets requests in progress end and closes the callers. */
  async stop (): Promise<void> {
    this.stopped = true
    await Promise.all(this.tasks)
    await Promise.all(this.callers.map(async caller => await caller.close()))
  }

  private startWorkspace (workspace: string): void {
    const caller = Caller.create({ bootstrapUrls: this.options.bootstrapUrls, workspace })
    this.callers.push(caller)
    for (let index = 0; index < this.options.requestsPerWorkspace; index++) this.tasks.push(this.runRequests(caller))
  }

  private async runRequests (caller: Caller): Promise<void> {
    while (!this.stopped) {
      const service = this.options.shape.services[pickIndex(this.random, this.options.shape.services.length)]
      if (service?.runs === undefined) await this.call(caller, service?.name ?? '')
      else await this.generate(caller, service.name)
    }
  }

  private async generate (caller: Caller, service: string): Promise<void> {
    const tokens = MIN_ANSWER_TOKENS + pickIndex(this.random, MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS)
    const answer = caller.generate({ service, prompt: createPrompt(tokens, ++this.sent) })
    this.options.tally.recordGeneration(await answer.wait(), tokens)
  }

  private async call (caller: Caller, service: string): Promise<void> {
    const name = `call ${++this.sent}`
    const answer = caller.call({ service, body: { name } })
    this.options.tally.recordCall(name, await answer.wait())
  }
}

function createPrompt (tokens: number, number: number): string {
  return `answer of ${tokens} tokens, request ${number}`
}

/**
 * Reads the length of the answer from a prompt of the load.
 * @param prompt - The prompt.
 */
export function readAnswerTokens (prompt: string): number {
  return Number(/answer of (\d+) tokens/.exec(prompt)?.[1] ?? MIN_ANSWER_TOKENS)
}
