/** State of a connection: `stalled` is temporary, `frozen` is permanent. */
export type GateState = 'open' | 'stalled' | 'frozen'

/** Controls whether data may be written to one connection. */
export class ConnectionGate {
  /** Creates an open gate. */
  static create (): ConnectionGate {
    return new ConnectionGate()
  }

  private state: GateState = 'open'
  private pendingHandlers: Array<() => void> = []

  /** @internal */
  private constructor () {}

  /** Returns whether data may be written. */
  isOpen (): boolean {
    return this.state === 'open'
  }

  /** Returns whether the connection is blocked permanently. */
  isFrozen (): boolean {
    return this.state === 'frozen'
  }

  /**
   * Runs a handler as soon as the gate is open. It runs synchronously if the gate is open, after the stall if it is
   * stalled, and never if it is frozen.
   * @param handler - Handler to run.
   */
  runWhenOpen (handler: () => void): void {
    if (this.state === 'open') handler()
    else if (this.state === 'stalled') this.pendingHandlers.push(handler)
  }

  /**
   * Sets the state. A frozen gate stays frozen.
   * @param state - New state.
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
