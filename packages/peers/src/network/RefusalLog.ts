import { type Logger } from '@fescuespoke/common'
import { type PeerFault } from './PeerCounters.js'

/** Peers whose last refusal is remembered. */
const MAX_PEERS = 1024

/** Logs why connections of a peer are refused, once until the cause changes. @internal */
export class RefusalLog {
  /**
   * Creates a log.
   * @param logger - Receives the lines; none are written when absent.
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
   * @param fault - Why it was refused.
   */
  recordRefusal (peer: string, fault: PeerFault): void {
    if (this.faults.get(peer) === fault) return
    if (this.faults.size >= MAX_PEERS) this.faults.clear()
    this.faults.set(peer, fault)
    this.logger?.warn({ peer, fault }, 'peer connection refused')
  }

  /**
   * Records a connection that was accepted; the next refusal of the peer is logged again.
   * @param peer - Name or address of the peer.
   */
  recordAcceptance (peer: string): void {
    this.faults.delete(peer)
  }
}
