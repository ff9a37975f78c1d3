import { type TargetLoads } from '../loads/TargetLoads.js'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Options of the use of a target. */
export interface TargetReservationOptions {
  readonly target: RelayTarget
  readonly tokens: number
  /** Score of the choice. */
  readonly score: number
  readonly loads: TargetLoads
  readonly onRelease: () => void
  /** Prompt tokens that the target has to read before the request begins. */
  readonly pendingPrefillTokens?: number
}

/** Steps of a whole to which scores are rounded for the log. */
const SCORE_STEPS = 1000

/** The use of one target by one request; it counts as load until released. */
export class TargetReservation {
  /**
   * Creates a use and counts it.
   * @param options - Options of the use.
   */
  static create (options: TargetReservationOptions): TargetReservation {
    return new TargetReservation(options)
  }

  readonly target: RelayTarget
  readonly score: number
  private tokens: number
  private heldTokens = 0
  private pendingPrefillTokens: number
  private isReleased = false

  /** @internal */
  private constructor (private readonly options: TargetReservationOptions) {
    this.target = options.target
    this.score = Math.round(options.score * SCORE_STEPS) / SCORE_STEPS
    this.tokens = options.tokens
    this.pendingPrefillTokens = options.pendingPrefillTokens ?? 0
    options.loads.addOwnLoad(this.target.name, { running: 1, tokens: this.tokens, pendingPrefillTokens: this.pendingPrefillTokens })
  }

  /**
   * Sets the memory that is needed, once the request has begun.
   * @param tokens - Tokens that are expected to be needed.
   * @param heldTokens - Tokens that are held now.
   */
  setTokens (tokens: number, heldTokens = 0): void {
    if (this.isReleased) return
    this.options.loads.addOwnLoad(this.target.name, { tokens: tokens - this.tokens, heldTokens: heldTokens - this.heldTokens, pendingPrefillTokens: -this.pendingPrefillTokens })
    this.pendingPrefillTokens = 0
    this.tokens = tokens
    this.heldTokens = heldTokens
  }

  /** Gives the target back. Later calls do nothing. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.options.loads.addOwnLoad(this.target.name, { running: -1, tokens: -this.tokens, heldTokens: -this.heldTokens, pendingPrefillTokens: -this.pendingPrefillTokens })
    this.options.onRelease()
  }
}
