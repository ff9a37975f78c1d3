import { type TargetLoads } from '../loads/TargetLoads.js'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Options of the use of a target. */
export interface TargetUseOptions {
  readonly target: RelayTarget
  readonly tokens: number
  /** Score of the choice. */
  readonly score: number
  readonly loads: TargetLoads
  readonly onRelease: () => void
  /** Prompt tokens that the target has to read before the request begins. */
  readonly unread?: number
}

/** Steps of a whole to which scores are rounded for the log. */
const SCORE_STEPS = 1000

/** The use of one target by one request; it counts as load until released. */
export class TargetUse {
  /**
   * Creates a use and counts it.
   * @param options - Options of the use.
   */
  static create (options: TargetUseOptions): TargetUse {
    return new TargetUse(options)
  }

  readonly target: RelayTarget
  readonly score: number
  private tokens: number
  private held = 0
  private unread: number
  private released = false

  /** @internal */
  private constructor (private readonly options: TargetUseOptions) {
    this.target = options.target
    this.score = Math.round(options.score * SCORE_STEPS) / SCORE_STEPS
    this.tokens = options.tokens
    this.unread = options.unread ?? 0
    options.loads.addOwn(this.target.name, { running: 1, tokens: this.tokens, unread: this.unread })
  }

  /**
   * Sets the memory that is needed, once the request has begun.
   * @param tokens - Tokens that are expected to be needed.
   * @param held - Tokens that are held now.
   */
  setTokens (tokens: number, held = 0): void {
    if (this.released) return
    this.options.loads.addOwn(this.target.name, { tokens: tokens - this.tokens, held: held - this.held, unread: -this.unread })
    this.unread = 0
    this.tokens = tokens
    this.held = held
  }

  /** Gives the target back. Later calls do nothing. */
  release (): void {
    if (this.released) return
    this.released = true
    this.options.loads.addOwn(this.target.name, { running: -1, tokens: -this.tokens, held: -this.held, unread: -this.unread })
    this.options.onRelease()
  }
}
