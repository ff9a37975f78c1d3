/** Cost of membership for one node of a fleet, averaged over all nodes. */
export interface MembershipCost {
  /** Number of nodes of the fleet. */
  readonly size: number
  /** Messages that a node sends per second. */
  readonly messagesPerSecond: number
  /** Bytes that a node sends and receives per second, including frame headers but not TCP and IP headers. */
  readonly bytesPerSecond: number
  /** Processor time of a node per second. */
  readonly cpuMsPerSecond: number
  /** Used heap of a node. */
  readonly heapBytes: number
}
