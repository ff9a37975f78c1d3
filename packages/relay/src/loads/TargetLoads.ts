import { type Clock } from '@fescuespoke/common'
import { type HeldMemory } from '../moves/computeTurn.js'

/** Work of one instance at one target. */
export interface TargetLoad {
  /** Requests in progress. */
  readonly running: number
  /** Memory that its generations are expected to need, in tokens. */
  readonly tokens: number
  /** Memory that they hold now, in tokens. */
  readonly held?: number
  /** Prompt tokens of generations that have not begun. */
  readonly unread?: number
}

/** Load of a target by name. */
export type LoadsByTarget = ReadonlyMap<string, TargetLoad>

/** Age at which what a peer told of its work is no longer counted. */
const PEER_LOAD_MS = 4000

const NO_LOAD: TargetLoad = { running: 0, tokens: 0 }

interface PeerLoads {
  readonly loads: LoadsByTarget
  readonly heardAtMs: number
}

/** Work at targets: of this instance as it is, of its peers as they last told. */
export class TargetLoads {
  /**
   * Creates empty loads.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): TargetLoads {
    return new TargetLoads(clock)
  }

  private readonly own = new Map<string, TargetLoad>()
  private readonly peers = new Map<string, PeerLoads>()
  private changed = false
  private onUrgent: (() => void) | undefined

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Adds work of this instance; negative amounts take it away.
   * @param target - Name of the target.
   * @param change - What is added.
   */
  addOwn (target: string, change: Partial<TargetLoad>): void {
    const next = sumLoads(this.getOwn(target), change)
    if (next.running <= 0 && next.tokens <= 0) this.own.delete(target)
    else this.own.set(target, next)
    this.changed = true
    if ((change.unread ?? 0) > 0) this.onUrgent?.()
  }

  /**
   * Sets what is called when work was added that others should know of at once.
   * @param onUrgent - Called after the work was added.
   */
  setUrgentListener (onUrgent: () => void): void {
    this.onUrgent = onUrgent
  }

  /**
   * Gets the work of this instance at a target.
   * @param target - Name of the target.
   */
  getOwn (target: string): TargetLoad {
    return this.own.get(target) ?? NO_LOAD
  }

  /**
   * Gets the work of all instances at a target.
   * @param target - Name of the target.
   */
  getTotal (target: string): TargetLoad {
    let total = this.getOwn(target)
    const oldestMs = this.clock.nowMs() - PEER_LOAD_MS
    for (const { loads, heardAtMs } of this.peers.values()) {
      const load = heardAtMs < oldestMs ? undefined : loads.get(target)
      if (load !== undefined) total = sumLoads(total, load)
    }
    return total
  }

  /**
   * Lists the memory that the runs of each peer hold at a target.
   * @param target - Name of the target.
   */
  listHeld (target: string): HeldMemory[] {
    const oldestMs = this.clock.nowMs() - PEER_LOAD_MS
    return [...this.peers].filter(([, { heardAtMs }]) => heardAtMs >= oldestMs)
      .map(([instance, { loads }]) => ({ instance, tokens: loads.get(target)?.held ?? 0 }))
  }

  /**
   * Observes what a peer tells of its own work.
   * @param peer - Name of the peer.
   * @param loads - Its work.
   */
  observePeer (peer: string, loads: LoadsByTarget): void {
    this.peers.set(peer, { loads, heardAtMs: this.clock.nowMs() })
  }

  /**
   * Forgets the work of a peer that is gone.
   * @param peer - Name of the peer.
   */
  forgetPeer (peer: string): void {
    this.peers.delete(peer)
  }

  /** Gets the work of this instance at all targets. */
  listOwn (): LoadsByTarget {
    return this.own
  }

  /** Lists the targets that hold memory of generations of this instance, or are about to. */
  listHolding (): string[] {
    return [...this.own].filter(([, { running, tokens }]) => running > 0 && tokens > 0).map(([target]) => target)
  }

  /** Takes note of whether own work changed since the last call. */
  takeChanged (): boolean {
    const { changed } = this
    this.changed = false
    return changed
  }
}

function sumLoads (a: TargetLoad, b: Partial<TargetLoad>): TargetLoad {
  return {
    running: a.running + (b.running ?? 0),
    tokens: a.tokens + (b.tokens ?? 0),
    held: (a.held ?? 0) + (b.held ?? 0),
    unread: (a.unread ?? 0) + (b.unread ?? 0)
  }
}
