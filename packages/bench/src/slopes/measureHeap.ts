import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Measures the bytes of the heap that are in use after a full garbage collection. */
export function measureHeap (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}
