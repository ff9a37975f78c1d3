import { type Logger } from '@fescuespoke/common'
import { type PeerFault } from './PeerCounters.js'

/** Maximum number of peers whose last fault is stored. */
const MAX_PEERS = 1024

/** Logs why connections of a peer are refused. Logs each peer once until the fault changes. @internal */
export class RefusalLog {
  /**
   * Creates a log.
   * @param logger - Logger to write to; nothing is logged if absent.
   */
  static create (logger?: Logger): RefusalLog {
    return new RefusalLog(logger)
  }

  private readonly faults = new Map<string, PeerFault>()

  /** @internal */
  private constructor (private readonly logger: Logger | undefined) {}

  /**
   * Records a refused connection.
   * @param peer - Name or address of the peer.
   * @param fault - Reason for the refusal.
   */
  recordRefusal (peer: string, fault: PeerFault): void {
    if (this.faults.get(peer) === fault) return
    if (this.faults.size >= MAX_PEERS) this.faults.clear()
    this.faults.set(peer, fault)
    this.logger?.warn({ peer, fault }, 'peer connection refused')
  }

  /**
   * Records an accepted connection, so that the next refusal of the peer is logged again.
   * @param peer - Name or address of the peer.
   */
  recordAcceptance (peer: string): void {
    this.faults.delete(peer)
  }
}
