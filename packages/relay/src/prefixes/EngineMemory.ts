import { type Clock } from '@fescuespoke/common'
import { type PromptPart } from './PromptPart.js'

/** News about the memory of an engine. */
export interface EngineMemoryNews {
  /** Memory of all runs that this instance has sent to the engine, in tokens. */
  readonly arrivedTokens: number
  /** Shared parts that the engine has read for this instance. */
  readonly parts: PromptPart[]
}

/** A part that the engine has read. */
interface ReadPart {
  readonly tokens: number
  /** Memory of all known runs at the last use, in tokens, and its clock reading. */
  readonly usedAtTokens: number
  readonly usedAtMs: number
  /** Number of runs of this instance that use it now. */
  readonly runningCount: number
}

/** Maximum number of parts that are remembered; an engine's memory holds a few prompts beside the running ones. */
const MAX_PARTS = 64

/** Time after its last use for which a part may count as held, in milliseconds; runs of instances that report none are not known. */
const MAX_AGE_MS = 60_000

/** Maximum number of parts in the news about one engine, and of peers whose runs are counted. */
const MAX_NEWS_PARTS = 2
const MAX_PEERS = 32

/** Estimate of the parts of prompts that one incarnation of an engine holds; the least recently used ones are evicted first. */
export class EngineMemory {
  /**
   * Creates an empty memory.
   * @param clock - Clock that measures the age of parts.
   * @param startedAtMs - Start of the incarnation.
   */
  static create (clock: Clock, startedAtMs: number): EngineMemory {
    return new EngineMemory(clock, startedAtMs)
  }

  /** Parts by id, the one used last at the end. */
  private readonly parts = new Map<string, ReadPart>()
  /** Shared parts of which peers have not been told, the newest at the end. */
  private readonly untold = new Map<string, PromptPart>()
  private readonly peerTokens = new Map<string, number>()
  private ownTokens = 0
  private arrivedTokens = 0

  /** @internal */
  private constructor (private readonly clock: Clock, readonly startedAtMs: number) {}

  /**
   * Records a run of this instance.
   * @param parts - Parts of its prompt.
   * @param tokens - Memory that it is expected to need.
   */
  addOwnRun (parts: readonly PromptPart[], tokens: number): void {
    this.ownTokens += tokens
    this.arrivedTokens += tokens
    for (const part of parts) this.usePart(part, 1)
    for (const part of parts.slice(0, -1).slice(0, MAX_NEWS_PARTS)) {
      this.untold.delete(part.id)
      this.untold.set(part.id, part)
    }
  }

  /**
   * Records the end of a run of this instance, which used its parts until then.
   * @param parts - Parts of its prompt.
   */
  endOwnRun (parts: readonly PromptPart[]): void {
    for (const part of parts) if (this.parts.has(part.id)) this.usePart(part, -1)
  }

  /**
   * Records runs of a peer.
   * @param peer - Name of the peer.
   * @param peerTokens - Memory of all runs that the peer has sent to the engine; what it sent before its first news is not counted.
   * @param parts - Shared parts that the engine has read for the peer.
   */
  addPeerRuns (peer: string, peerTokens: number, parts: readonly PromptPart[]): void {
    const before = this.peerTokens.get(peer) ?? peerTokens
    for (const part of parts.slice(0, MAX_NEWS_PARTS)) this.usePart(part, 0)
    this.arrivedTokens += Math.max(0, peerTokens - before)
    this.peerTokens.delete(peer)
    this.peerTokens.set(peer, peerTokens)
    const [oldest] = this.peerTokens.keys()
    if (this.peerTokens.size > MAX_PEERS && oldest !== undefined) this.peerTokens.delete(oldest)
  }

  /**
   * Estimates how many tokens at the beginning of a prompt are held: those of parts in use, and of parts that fit into the free memory
   * together with all that has arrived since their last use.
   * @param parts - Parts of the prompt in order.
   * @param freeTokens - Memory that running requests do not use, in tokens.
   */
  estimateHeldTokens (parts: readonly PromptPart[], freeTokens: number): number {
    let heldTokens = 0
    for (const { id, tokens } of parts) {
      const part = this.parts.get(id)
      if (part === undefined || part.tokens !== tokens) return heldTokens
      const hasFit = this.arrivedTokens - part.usedAtTokens + heldTokens + tokens <= freeTokens
      const isRecent = this.clock.nowMs() - part.usedAtMs < MAX_AGE_MS
      if (part.runningCount === 0 && !(hasFit && isRecent)) return heldTokens
      heldTokens += tokens
    }
    return heldTokens
  }

  /** Returns whether peers have not been told of all parts. */
  hasNews (): boolean {
    return this.untold.size > 0
  }

  /** Returns the news for peers, and marks them as told. */
  takeNews (): EngineMemoryNews {
    const parts = [...this.untold.values()].slice(-MAX_NEWS_PARTS)
    this.untold.clear()
    return { arrivedTokens: Math.round(this.ownTokens), parts }
  }

  private usePart ({ id, tokens }: PromptPart, runningChange: number): void {
    const runningCount = Math.max(0, (this.parts.get(id)?.runningCount ?? 0) + runningChange)
    this.parts.delete(id)
    this.parts.set(id, { tokens, usedAtTokens: this.arrivedTokens, usedAtMs: this.clock.nowMs(), runningCount })
    const [oldest] = this.parts.keys()
    if (this.parts.size > MAX_PARTS && oldest !== undefined) this.parts.delete(oldest)
  }
}
