/** Cost of one node at one size, averaged over all nodes. */
export interface MembershipCost {
  /** What grows, for instance the number of nodes. */
  readonly size: number
  /** Messages sent by a node in a second. */
  readonly messagesPerSecond: number
  /** Bytes sent and received by a node in a second, frame headers included, TCP and IP headers not. */
  readonly bytesPerSecond: number
  /** Processor time of a node in a second. */
  readonly cpuMsPerSecond: number
  /** Heap of a node. */
  readonly heapBytes: number
}
