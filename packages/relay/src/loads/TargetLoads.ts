import { type Clock } from '@fescuespoke/common'

/** Load of one instance at one target. */
export interface TargetLoad {
  /** Number of requests in progress. */
  readonly running: number
  /** Memory that its generations are expected to need, in tokens. */
  readonly tokens: number
  /** Memory that its generations hold now, in tokens. */
  readonly heldTokens?: number
  /** Prompt tokens of generations that have not started. */
  readonly pendingPrefillTokens?: number
}

/** Loads by name of the target. */
export type LoadsByTarget = ReadonlyMap<string, TargetLoad>

/** Memory that the runs of one instance hold at an engine. */
export interface HeldMemory {
  readonly instance: string
  /** Number of tokens held. */
  readonly tokens: number
}

/** Age at which the load that a peer reported expires, in milliseconds. */
const PEER_LOAD_TTL_MS = 4000

const NO_LOAD: TargetLoad = { running: 0, tokens: 0 }

interface PeerLoads {
  readonly loads: LoadsByTarget
  readonly receivedAtMs: number
}

/** Loads of targets: the current load of this instance and the last reported loads of its peers. */
export class TargetLoads {
  /**
   * Creates empty loads.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): TargetLoads {
    return new TargetLoads(clock)
  }

  private readonly ownLoads = new Map<string, TargetLoad>()
  private readonly peerLoads = new Map<string, PeerLoads>()
  /** Loads of this instance when they last counted as changed. */
  private reportedLoads: LoadsByTarget = new Map()
  private onUrgent: (() => void) | undefined

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Adds load of this instance; negative amounts remove load.
   * @param target - Name of the target.
   * @param change - Load to add.
   * @param isUrgent - Whether peers must know at once; by default, if prompt tokens are added.
   */
  addOwnLoad (target: string, change: Partial<TargetLoad>, isUrgent = (change.pendingPrefillTokens ?? 0) > 0): void {
    const next = sumLoads(this.getOwnLoad(target), change)
    if (next.running <= 0 && next.tokens <= 0) this.ownLoads.delete(target)
    else this.ownLoads.set(target, next)
    if (isUrgent) this.notifyUrgent()
  }

  /**
   * Sets the listener for added load that must be sent to peers at once.
   * @param onUrgent - Called after load was added.
   */
  setUrgentListener (onUrgent: () => void): void {
    this.onUrgent = onUrgent
  }

  /** Requests that peers receive the loads of this instance at once. */
  notifyUrgent (): void {
    this.onUrgent?.()
  }

  /**
   * Returns the load of this instance at a target.
   * @param target - Name of the target.
   */
  getOwnLoad (target: string): TargetLoad {
    return this.ownLoads.get(target) ?? NO_LOAD
  }

  /**
   * Returns the load of all instances at a target.
   * @param target - Name of the target.
   */
  getTotalLoad (target: string): TargetLoad {
    let total = this.getOwnLoad(target)
    const oldestMs = this.clock.nowMs() - PEER_LOAD_TTL_MS
    for (const { loads, receivedAtMs } of this.peerLoads.values()) {
      const load = receivedAtMs < oldestMs ? undefined : loads.get(target)
      if (load !== undefined) total = sumLoads(total, load)
    }
    return total
  }

  /**
   * Lists the memory that the runs of each peer hold at a target.
   * @param target - Name of the target.
   */
  listHeldMemory (target: string): HeldMemory[] {
    const oldestMs = this.clock.nowMs() - PEER_LOAD_TTL_MS
    return [...this.peerLoads].filter(([, { receivedAtMs }]) => receivedAtMs >= oldestMs)
      .map(([instance, { loads }]) => ({ instance, tokens: loads.get(target)?.heldTokens ?? 0 }))
  }

  /**
   * Updates the loads that a peer reported.
   * @param peer - Name of the peer.
   * @param loads - Loads of the peer.
   */
  updatePeer (peer: string, loads: LoadsByTarget): void {
    this.peerLoads.set(peer, { loads, receivedAtMs: this.clock.nowMs() })
  }

  /**
   * Removes the loads of a peer that is dead.
   * @param peer - Name of the peer.
   */
  removePeer (peer: string): void {
    this.peerLoads.delete(peer)
  }

  /** Returns the loads of this instance at all targets. */
  listOwnLoads (): LoadsByTarget {
    return this.ownLoads
  }

  /** Lists the engines on which generations of this instance hold memory or are about to. */
  listEnginesInUse (): string[] {
    return [...this.ownLoads].filter(([, { running, tokens }]) => running > 0 && tokens > 0).map(([target]) => target)
  }

  /**
   * Returns whether the requests of this instance changed since the last change that was returned. The memory of running generations
   * grows all the time and does not count: peers estimate what a generation will need.
   */
  consumeChanged (): boolean {
    const isUnchanged = this.ownLoads.size === this.reportedLoads.size && [...this.ownLoads].every(([target, load]) => hasSameRequests(load, this.reportedLoads.get(target)))
    if (!isUnchanged) this.reportedLoads = new Map(this.ownLoads)
    return !isUnchanged
  }
}

function hasSameRequests (a: TargetLoad, b: TargetLoad | undefined): boolean {
  return a.running === b?.running && (a.pendingPrefillTokens ?? 0) === (b.pendingPrefillTokens ?? 0)
}

function sumLoads (a: TargetLoad, b: Partial<TargetLoad>): TargetLoad {
  return {
    running: a.running + (b.running ?? 0),
    tokens: a.tokens + (b.tokens ?? 0),
    heldTokens: (a.heldTokens ?? 0) + (b.heldTokens ?? 0),
    pendingPrefillTokens: (a.pendingPrefillTokens ?? 0) + (b.pendingPrefillTokens ?? 0)
  }
}
