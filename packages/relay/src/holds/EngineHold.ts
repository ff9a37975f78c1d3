/** Options of a reservation at an engine. */
export interface EngineHoldOptions {
  /** Id that the engine gave to the reservation. */
  readonly id: string
  /** Releases the reservation at the engine. */
  readonly onDrop: () => void
}

/** Capacity that an engine reserves for one request. */
export class EngineHold {
  /**
   * Creates a reservation that is not used yet.
   * @param options - Options of the reservation.
   */
  static create (options: EngineHoldOptions): EngineHold {
    return new EngineHold(options)
  }

  readonly id: string
  private isEnded = false

  /** @internal */
  private constructor (private readonly options: EngineHoldOptions) {
    this.id = options.id
  }

  /** Records that a request may have used the reservation, after which it is not released any more. */
  recordUse (): void {
    this.isEnded = true
  }

  /** Releases the reservation at the engine unless it was used. Later calls have no effect. */
  drop (): void {
    if (this.isEnded) return
    this.isEnded = true
    this.options.onDrop()
  }
}
