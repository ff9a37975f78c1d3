/** State of one connection: `stalled` recovers, `frozen` never does. */
export type GateState = 'open' | 'stalled' | 'frozen'

/** Decides whether one connection may carry bytes towards the client. */
export class ConnectionGate {
  /** Creates an open gate. */
  static create (): ConnectionGate {
    return new ConnectionGate()
  }

  private state: GateState = 'open'
  private pendingHandlers: Array<() => void> = []

  /** @internal */
  private constructor () {}

  /** Tells whether bytes may be written. */
  isOpen (): boolean {
    return this.state === 'open'
  }

  /** Tells whether the connection is silent for good. */
  isFrozen (): boolean {
    return this.state === 'frozen'
  }

  /**
   * Runs a handler as soon as the gate is open: at once, after the stall, or never.
   * @param handler - What to run.
   */
  runWhenOpen (handler: () => void): void {
    if (this.state === 'open') handler()
    else if (this.state === 'stalled') this.pendingHandlers.push(handler)
  }

  /**
   * Sets the state; a frozen gate stays frozen.
   * @param state - The new state.
   */
  setState (state: GateState): void {
    if (this.state === 'frozen') return
    this.state = state
    if (state === 'stalled') return
    const handlers = this.pendingHandlers
    this.pendingHandlers = []
    if (state === 'open') handlers.forEach(handler => handler())
  }
}
