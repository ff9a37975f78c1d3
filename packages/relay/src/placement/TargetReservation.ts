import { type EngineHold } from '../holds/EngineHold.js'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Options of a target reservation. */
export interface TargetReservationOptions {
  readonly target: RelayTarget
  readonly tokens: number
  /** Score with which the target was selected. */
  readonly score: number
  readonly loads: TargetLoads
  readonly onRelease: () => void
  /** Prompt tokens that the target has to process before the request starts. */
  readonly pendingPrefillTokens?: number
  /** Tokens at the beginning of the prompt that the engine was expected to hold when it was selected. */
  readonly heldPrefixTokens?: number
  /** Whether the target may still refuse the request, so that peers need not know at once; by default it may not. */
  readonly isTentative?: boolean
}

/** Number of steps per unit to which scores are rounded for the log. */
const SCORE_STEPS = 1000

/** Reservation of one target for one request; counts as load until it is released. */
export class TargetReservation {
  /**
   * Creates a reservation and adds its load.
   * @param options - Options of the reservation.
   */
  static create (options: TargetReservationOptions): TargetReservation {
    return new TargetReservation(options)
  }

  readonly target: RelayTarget
  readonly score: number
  readonly heldPrefixTokens: number | undefined
  private tokens: number
  private heldTokens = 0
  private pendingPrefillTokens: number
  private isReleased = false
  private hold: EngineHold | undefined
  private readonly listeners: Array<() => void> = []

  /** @internal */
  private constructor (private readonly options: TargetReservationOptions) {
    this.target = options.target
    this.score = Math.round(options.score * SCORE_STEPS) / SCORE_STEPS
    this.heldPrefixTokens = options.heldPrefixTokens
    this.tokens = options.tokens
    this.pendingPrefillTokens = options.pendingPrefillTokens ?? 0
    options.loads.addOwnLoad(this.target.name, { running: 1, tokens: this.tokens, pendingPrefillTokens: this.pendingPrefillTokens }, options.isTentative === true ? false : undefined)
  }

  /**
   * Updates the memory of the request after it has started.
   * @param tokens - Expected memory in tokens.
   * @param heldTokens - Memory held now, in tokens.
   */
  setTokens (tokens: number, heldTokens = 0): void {
    if (this.isReleased) return
    this.options.loads.addOwnLoad(this.target.name, { tokens: tokens - this.tokens, heldTokens: heldTokens - this.heldTokens, pendingPrefillTokens: -this.pendingPrefillTokens })
    this.pendingPrefillTokens = 0
    this.tokens = tokens
    this.heldTokens = heldTokens
  }

  /** Lets peers know at once of a tentative reservation whose request is sent. */
  confirm (): void {
    this.options.loads.notifyUrgent()
  }

  /**
   * Sets the reservation of capacity at the engine, which is dropped together with this one unless a request uses it.
   * @param hold - The reservation at the engine.
   */
  setHold (hold: EngineHold): void {
    this.hold = hold
    if (this.isReleased) hold.drop()
  }

  /** Returns the reservation of capacity at the engine; undefined when there is none. */
  getHold (): EngineHold | undefined {
    return this.hold
  }

  /** Removes the memory of the request after it was copied to another engine, and lets peers know at once. */
  clearTokens (): void {
    this.setTokens(0)
    this.options.loads.notifyUrgent()
  }

  /**
   * Adds a listener.
   * @param listener - Called once when the target is released.
   */
  addReleaseListener (listener: () => void): void {
    this.listeners.push(listener)
  }

  /**
   * Releases the target. Later calls have no effect.
   * @param options - Whether waiting requests may use the capacity; not when the target refused this one. By default they may.
   */
  release ({ freesCapacity = true }: { readonly freesCapacity?: boolean } = {}): void {
    if (this.isReleased) return
    this.isReleased = true
    this.hold?.drop()
    this.options.loads.addOwnLoad(this.target.name, { running: -1, tokens: -this.tokens, heldTokens: -this.heldTokens, pendingPrefillTokens: -this.pendingPrefillTokens })
    for (const listener of this.listeners) listener()
    if (freesCapacity) this.options.onRelease()
  }
}
