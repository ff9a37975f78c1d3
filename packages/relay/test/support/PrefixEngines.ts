import { type VirtualClock } from '@fescuespoke/common'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { type PromptPart } from '../../src/prefixes/PromptPart.js'
import { type Attempt, type AttemptOptions } from '../../src/targets/RelayTargetClient.js'
import { FakeTargetClient, ScriptedAttempt } from './FakeTargetClient.js'

interface EngineState {
  /** Parts that are held, the one used last at the end. */
  readonly held: Map<string, number>
  /** Clock reading at which the engine has read the prompts of all requests. */
  idleAtMs: number
}

/** Number of prompt tokens that an engine reads in a millisecond, and time between two events. */
const PREFILL_TOKENS_PER_MS = 14
const EVENT_INTERVAL_MS = 20

/** Engines that read one prompt after the other and skip the parts that they hold. The body of a request states the parts of its prompt. */
export class PrefixEngines extends FakeTargetClient {
  /**
   * Creates engines that have read nothing.
   * @param clock - Clock that measures the time of reading.
   * @param memoryTokens - Memory for parts, in tokens.
   */
  static createEngines (clock: VirtualClock, memoryTokens: number): PrefixEngines {
    return new PrefixEngines(clock, memoryTokens)
  }

  /** Number of prompt tokens that engines have read, and names of the engines that received requests. */
  readTokens = 0
  readonly sentTo: string[] = []
  private readonly engines = new Map<string, EngineState>()

  private constructor (private readonly virtualClock: VirtualClock, private readonly memoryTokens: number) {
    super(virtualClock)
  }

  /** Lets an engine forget everything, as a restart does. */
  restart (name: string): void {
    this.engines.delete(name)
  }

  override sendRequest (target: RelayTarget, options: AttemptOptions): Attempt {
    this.sentTo.push(target.name)
    const engine = this.engines.get(target.name) ?? { held: new Map<string, number>(), idleAtMs: 0 }
    this.engines.set(target.name, engine)
    const tokens = this.readPrompt(engine, JSON.parse(options.request.body.toString()))
    this.readTokens += tokens
    engine.idleAtMs = Math.max(engine.idleAtMs, this.virtualClock.nowMs()) + tokens / PREFILL_TOKENS_PER_MS
    return new ScriptedAttempt(this.virtualClock, { steps: [engine.idleAtMs - this.virtualClock.nowMs(), 'id: 1\ndata: x\n\n', EVENT_INTERVAL_MS, 'id: 2\ndata: x\n\n', 'END'] }, options, () => undefined)
  }

  /** Returns the number of tokens of a prompt that an engine has to read; it evicts the parts used least recently. */
  private readPrompt ({ held }: EngineState, parts: readonly PromptPart[]): number {
    const firstMissing = parts.findIndex(({ id }) => !held.has(id))
    const missing = firstMissing < 0 ? [] : parts.slice(firstMissing)
    for (const { id, tokens } of parts) {
      held.delete(id)
      held.set(id, tokens)
    }
    for (const id of held.keys()) if (sum([...held.values()]) > this.memoryTokens) held.delete(id)
    return sum(missing.map(({ tokens }) => tokens))
  }
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
