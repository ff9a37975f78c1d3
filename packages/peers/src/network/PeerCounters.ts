/** Why a connection was refused, closed or not used. */
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

/** Counts since the start of the process. */
export interface PeerCounters {
  readonly framesIn: number
  readonly framesOut: number
  readonly bytesIn: number
  readonly bytesOut: number
  /** Connections that ended their handshake. */
  readonly connections: number
  /** Connections of these that replaced a lost one. */
  readonly reconnects: number
  readonly faults: Readonly<Partial<Record<PeerFault, number>>>
}

/** Counts that one network adds to. @internal */
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
   * @param fault - What happened.
   */
  recordFault (fault: PeerFault): void {
    this.faults[fault] = (this.faults[fault] ?? 0) + 1
  }

  /** Gets a copy of the counts. */
  getCounters (): PeerCounters {
    return { ...this, faults: { ...this.faults } }
  }
}
