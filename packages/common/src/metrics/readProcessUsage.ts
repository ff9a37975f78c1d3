/** Resource usage of this process. */
export interface ProcessUsage {
  /** Processor time since the start of the process, in milliseconds. */
  readonly processorMs: number
  readonly heapBytes: number
  readonly residentBytes: number
}

/** Reads the resource usage of this process. */
export function readProcessUsage (): ProcessUsage {
  const { user, system } = process.cpuUsage()
  const { heapUsed, rss } = process.memoryUsage()
  return { processorMs: (user + system) / 1000, heapBytes: heapUsed, residentBytes: rss }
}
