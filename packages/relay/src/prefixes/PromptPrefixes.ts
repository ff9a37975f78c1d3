import { type Clock } from '@fescuespoke/common'
import { type PrefixNews } from '@fescuespoke/schema'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { EngineMemory } from './EngineMemory.js'
import { type PromptPart } from './PromptPart.js'

/** Options of prompt prefixes. */
export interface PromptPrefixesOptions {
  readonly clock: Clock
  readonly log: DecisionLog
}

/** Ends the use of the parts of a prompt when the run has ended. Later calls have no effect. */
export type EndPrefixUse = () => void

/** Identity of one incarnation of an engine. */
type Incarnation = Pick<RelayTarget, 'name' | 'startedAtMs'>

/** Maximum number of engines whose memory is estimated. */
const MAX_TARGETS = 512

/** Minimum interval between two messages with news, in milliseconds, and maximum number of engines in one. It keeps them below 2 KB a second for each peer. */
const NEWS_INTERVAL_MS = 1000
const MAX_NEWS = 8

/** Maximum length of the id of a part, in characters, and maximum number of tokens in a peer's news. */
const MAX_ID_LENGTH = 32
const MAX_TOKENS = 2 ** 40

/** Estimates which beginnings of prompts engines still hold, from the runs of this instance and of its peers. Engines are not polled. */
export class PromptPrefixes {
  /**
   * Creates prefixes of which none is held.
   * @param options - Options of the prefixes.
   */
  static create (options: PromptPrefixesOptions): PromptPrefixes {
    return new PromptPrefixes(options)
  }

  /** Memories by name of the engine, the one used last at the end. */
  private readonly memories = new Map<string, EngineMemory>()
  private lastNewsAtMs = -Infinity

  /** @internal */
  private constructor (private readonly options: PromptPrefixesOptions) {}

  /**
   * Records that an engine runs a generation.
   * @param target - The engine.
   * @param parts - Parts of the prompt in order; the last one belongs to the request or its session.
   * @param tokens - Memory that the generation is expected to need, in tokens.
   * @returns Ends the use.
   */
  recordUse (target: Incarnation, parts: readonly PromptPart[], tokens: number): EndPrefixUse {
    const memory = this.refreshMemory(target)
    memory.addOwnRun(parts, tokens)
    let hasEnded = false
    return () => {
      if (!hasEnded) memory.endOwnRun(parts)
      hasEnded = true
    }
  }

  /**
   * Estimates how many tokens at the beginning of a prompt an engine holds.
   * @param target - The engine.
   * @param parts - Parts of the prompt in order.
   * @param freeTokens - Memory of the engine that running requests do not use, in tokens.
   */
  estimateHeldTokens (target: Incarnation, parts: readonly PromptPart[], freeTokens: number): number {
    const memory = this.memories.get(target.name)
    return memory === undefined || memory.startedAtMs !== target.startedAtMs ? 0 : memory.estimateHeldTokens(parts, freeTokens)
  }

  /**
   * Forgets what an engine holds.
   * @param name - Name of the engine.
   */
  removeTarget (name: string): void {
    this.memories.delete(name)
  }

  /** Lists the shared parts that engines have read since the last news, for a message to a peer; empty until the next news are due. */
  listNews (): PrefixNews[] {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.lastNewsAtMs < NEWS_INTERVAL_MS) return []
    const news = [...this.memories].filter(([, memory]) => memory.hasNews()).slice(0, MAX_NEWS)
    if (news.length > 0) this.lastNewsAtMs = nowMs
    return news.map(([target, memory]) => ({ target, startedAtMs: memory.startedAtMs, ...memory.takeNews() }))
  }

  /**
   * Takes over what a peer reported.
   * @param peer - Name of the peer.
   * @param news - Parts that engines have read for the peer.
   */
  mergeNews (peer: string, news: readonly PrefixNews[]): void {
    const valid = news.filter(isValid)
    if (valid.length < news.length) this.options.log.recordStateChange('prefixes of a peer ignored', { peer, targets: news.filter(entry => !isValid(entry)).map(({ target }) => target) })
    for (const { target: name, startedAtMs, arrivedTokens, parts } of valid.slice(0, MAX_NEWS)) {
      const known = this.memories.get(name)
      if (known === undefined || known.startedAtMs <= startedAtMs) this.refreshMemory({ name, startedAtMs }).addPeerRuns(peer, arrivedTokens, parts)
    }
  }

  /** Returns the memory of an engine as the one used last; an engine that has restarted holds nothing. */
  private refreshMemory ({ name, startedAtMs }: Incarnation): EngineMemory {
    const known = this.memories.get(name)
    const memory = known?.startedAtMs === startedAtMs ? known : EngineMemory.create(this.options.clock, startedAtMs)
    this.memories.delete(name)
    this.memories.set(name, memory)
    const [oldest] = this.memories.keys()
    if (this.memories.size > MAX_TARGETS && oldest !== undefined) this.memories.delete(oldest)
    return memory
  }
}

function isValid ({ arrivedTokens, parts }: PrefixNews): boolean {
  return isTokenCount(arrivedTokens) && parts.every(({ id, tokens }) => id.length <= MAX_ID_LENGTH && isTokenCount(tokens))
}

function isTokenCount (tokens: number): boolean {
  return tokens >= 0 && tokens <= MAX_TOKENS
}
