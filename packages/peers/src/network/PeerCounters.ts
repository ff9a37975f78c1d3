/** Reason why a connection was refused, closed or not used. */
export type PeerFault =
  | 'oversize'
  | 'malformed'
  | 'wrongVersion'
  | 'wrongFleet'
  | 'wrongKey'
  | 'wrongInstance'
  | 'handshakeTimeout'
  | 'connectFailed'
  | 'silent'
  | 'slowFrame'
  | 'overflow'
  | 'bufferBudget'
  | 'unexpected'
  | 'handlerFailed'

/** Traffic and fault counters since the start of the process. */
export interface PeerCounters {
  readonly framesIn: number
  readonly framesOut: number
  readonly bytesIn: number
  readonly bytesOut: number
  /** Connections that completed their handshake. */
  readonly connections: number
  /** Those of the `connections` that replaced a lost connection. */
  readonly reconnects: number
  readonly faults: Readonly<Partial<Record<PeerFault, number>>>
}

/** Mutable counters of one network. @internal */
export class CounterSet {
  framesIn = 0
  framesOut = 0
  bytesIn = 0
  bytesOut = 0
  connections = 0
  reconnects = 0
  readonly faults: Partial<Record<PeerFault, number>> = {}

  /**
   * Records a fault.
   * @param fault - Fault to count.
   */
  recordFault (fault: PeerFault): void {
    this.faults[fault] = (this.faults[fault] ?? 0) + 1
  }

  /** Returns a copy of the counters. */
  getCounters (): PeerCounters {
    return { ...this, faults: { ...this.faults } }
  }
}
