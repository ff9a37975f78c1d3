import { type Clock, rankByRendezvous } from '@fescuespoke/common'
import { type HarmfulRequest } from './findHarmfulRequests.js'

/** Options of turns. */
export interface TrialTurnsOptions {
  readonly clock: Clock
  /** Name of this instance. */
  readonly instance: string
  /** Lists the names of the instances that are alive, including this one. */
  readonly listInstances: () => readonly string[]
}

/** Time after the last crash at which one request may try again, in milliseconds, and the factor by which each failed trial extends it. */
const FIRST_TURN_MS = 30_000
const TURN_FACTOR = 4

/** Decides when a harmful request may try again. One instance at a time has the turn, and lets one request try in it. */
export class TrialTurns {
  /**
   * Creates turns.
   * @param options - Options of the turns.
   */
  static create (options: TrialTurnsOptions): TrialTurns {
    return new TrialTurns(options)
  }

  /** Request that tried last by fingerprint, and the end of its turn. */
  private readonly trials = new Map<string, { readonly requestId: string, readonly turnEndMs: number }>()

  /** @internal */
  private constructor (private readonly options: TrialTurnsOptions) {}

  /**
   * Takes the turn of this instance for a request, if it has one now.
   * @param harmful - What is known of requests with its fingerprint.
   * @param requestId - Id of the request.
   * @returns Whether the request may be sent.
   */
  takeTurn (harmful: HarmfulRequest, requestId: string): boolean {
    const turn = this.getTurn(harmful)
    if (turn === 0 || !this.hasTurn(harmful.fingerprint, turn)) return false
    this.prune()
    const last = this.trials.get(harmful.fingerprint)
    if (last !== undefined) return last.requestId === requestId
    this.trials.set(harmful.fingerprint, { requestId, turnEndMs: this.options.clock.nowMs() + this.getWaitMs(harmful) })
    return true
  }

  /**
   * Returns the time until the next turn, in milliseconds.
   * @param harmful - What is known of requests with the fingerprint.
   */
  getWaitMs (harmful: HarmfulRequest): number {
    return harmful.lastAtMs + (this.getTurn(harmful) + 1) * getTurnMs(harmful) - this.options.clock.nowMs()
  }

  /** Returns the number of the current turn; 0 before the first one. */
  private getTurn (harmful: HarmfulRequest): number {
    return Math.max(0, Math.floor((this.options.clock.nowMs() - harmful.lastAtMs) / getTurnMs(harmful)))
  }

  private hasTurn (fingerprint: string, turn: number): boolean {
    const ranked = rankByRendezvous(fingerprint, this.options.listInstances())
    return ranked[turn % ranked.length] === this.options.instance
  }

  private prune (): void {
    const nowMs = this.options.clock.nowMs()
    for (const [fingerprint, { turnEndMs }] of this.trials) if (turnEndMs <= nowMs) this.trials.delete(fingerprint)
  }
}

function getTurnMs ({ lateCrashes }: HarmfulRequest): number {
  return FIRST_TURN_MS * TURN_FACTOR ** lateCrashes
}
