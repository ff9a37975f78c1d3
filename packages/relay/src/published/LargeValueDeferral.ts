import { type Clock } from '@fescuespoke/common'
import { type PublishedChanges, type PublishedItem } from './PublishedItem.js'
import { comparePositions, type PublishedPosition, START_POSITION } from './PublishedPosition.js'

/** A peer that was sent an answer without a large value. */
interface Deferral {
  /** Position of the first value that was left out. */
  readonly position: PublishedPosition
  readonly sinceMs: number
}

/** Length from which a value is large, in characters; it takes the link of an instance for a noticeable time. */
export const LARGE_VALUE_CHARACTERS = 32 * 1024

/** Time in which a peer is expected to read a large value from the store, in milliseconds. */
export const DEFERRAL_MS = 1000

/** Time for which a peer that cannot read the store has the link of this instance for large values, before the next one gets them, in milliseconds. */
export const TURN_MS = 500

/** Time after which a peer that did not ask again is forgotten, in milliseconds. */
const RETENTION_MS = 30_000

/**
 * Leaves large values out of the answers to peers. The link of the store is wide, while that of an instance would have to carry the
 * value once for each peer that asks; a peer that cannot read the store gets it in its turn if it says so, and after a delay otherwise.
 */
export class LargeValueDeferral {
  /**
   * Creates a deferral without any peers.
   * @param clock - Monotonic clock.
   */
  static create (clock: Clock): LargeValueDeferral {
    return new LargeValueDeferral(clock)
  }

  private readonly deferrals = new Map<string, Deferral>()
  private turnEndMs = -Infinity

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Selects what a peer gets now. Where a value is left out, the answer is complete only up to the change before it.
   * @param peer - Name of the peer.
   * @param have - Position of the peer.
   * @param changes - What the peer may not have.
   * @param cannotReadStore - Whether the peer stated that the store does not answer it; one such peer at a time gets large values at once.
   */
  selectChanges (peer: string, have: PublishedPosition, changes: PublishedChanges, cannotReadStore = false): PublishedChanges {
    const first = findFirst(changes.items.filter(item => this.canReadFromStore(item, have, changes.position)))
    if (first === undefined) return changes
    const maySend = cannotReadStore ? this.takeTurn() : this.hasWaited(peer, have, first)
    if (maySend) return changes
    return {
      items: changes.items.filter(item => !this.canReadFromStore(item, have, changes.position)),
      position: { era: first.era, revision: first.revision - 1 }
    }
  }

  /** Returns whether a value is large and in the store; values of an earlier era may be lost there, and a peer that starts gets everything. */
  private canReadFromStore ({ value = '', era }: PublishedItem, have: PublishedPosition, position: PublishedPosition): boolean {
    return value.length >= LARGE_VALUE_CHARACTERS && era === position.era && have.era === position.era && have.revision !== START_POSITION.revision
  }

  /** Returns whether a peer has lacked a large value for so long that it cannot read it from the store. */
  private hasWaited (peer: string, have: PublishedPosition, first: PublishedPosition): boolean {
    this.prune()
    const known = this.deferrals.get(peer)
    const isStillBehind = known !== undefined && comparePositions(have, known.position) < 0
    const deferral = isStillBehind ? known : { position: first, sinceMs: this.clock.nowMs() }
    this.deferrals.set(peer, deferral)
    return this.clock.nowMs() - deferral.sinceMs >= DEFERRAL_MS
  }

  /** Returns whether no other peer has its turn, and begins one. */
  private takeTurn (): boolean {
    const nowMs = this.clock.nowMs()
    if (nowMs < this.turnEndMs) return false
    this.turnEndMs = nowMs + TURN_MS
    return true
  }

  private prune (): void {
    const nowMs = this.clock.nowMs()
    for (const [peer, { sinceMs }] of this.deferrals) if (nowMs - sinceMs >= RETENTION_MS) this.deferrals.delete(peer)
  }
}

function findFirst (items: readonly PublishedItem[]): PublishedItem | undefined {
  return [...items].sort(comparePositions)[0]
}
