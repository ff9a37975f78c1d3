import { rankByRendezvous } from '@fescuespoke/common'

/** Number of classes of keys; the keys of a class have the same peers. */
const CLASS_COUNT = 1024

/** Ranks peers by key, so that all instances derive the same peers from a key. The order of a class is computed once for a list of peers. */
export class PeerRanking {
  /**
   * Creates a ranking.
   * @param listPeers - Lists the names of the peers that are considered alive.
   */
  static create (listPeers: () => readonly string[]): PeerRanking {
    return new PeerRanking(listPeers)
  }

  private peers: readonly string[] = []
  private readonly orders = new Map<number, readonly string[]>()

  /** @internal */
  private constructor (private readonly listPeers: () => readonly string[]) {}

  /**
   * Returns the peers in the order of a key.
   * @param key - The key.
   */
  rank (key: string): readonly string[] {
    this.refresh()
    const keyClass = computeClass(key)
    const order = this.orders.get(keyClass) ?? rankByRendezvous(String(keyClass), this.peers)
    this.orders.set(keyClass, order)
    return order
  }

  private refresh (): void {
    const peers = this.listPeers()
    const isSame = peers.length === this.peers.length && peers.every((name, index) => name === this.peers[index])
    if (isSame) return
    this.peers = [...peers]
    this.orders.clear()
  }
}

function computeClass (key: string): number {
  let sum = 0
  for (let index = 0; index < key.length; index++) sum = (sum * 31 + key.charCodeAt(index)) >>> 0
  return sum % CLASS_COUNT
}
