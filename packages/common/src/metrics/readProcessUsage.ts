/** Resources that this process uses. */
export interface ProcessUsage {
  /** Processor time since the start, in milliseconds. */
  readonly processorMs: number
  readonly heapBytes: number
  readonly residentBytes: number
}

/** Reads the resources that this process uses. */
export function readProcessUsage (): ProcessUsage {
  const { user, system } = process.cpuUsage()
  const { heapUsed, rss } = process.memoryUsage()
  return { processorMs: (user + system) / 1000, heapBytes: heapUsed, residentBytes: rss }
}
