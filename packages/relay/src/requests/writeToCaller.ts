import { type RelayContext } from './RelayContext.js'

/**
 * Writes bytes of an answer; waits while the caller reads slowly, but not beyond the end of the request.
 * @param context - The request.
 * @param bytes - The bytes.
 */
export async function writeToCaller ({ sink, signal }: RelayContext, bytes: Buffer): Promise<void> {
  const written = sink.writeBytes(bytes)
  if (written === undefined || signal.aborted) return
  const waitController = new AbortController()
  const aborted = new Promise<void>(resolve => signal.addEventListener('abort', () => resolve(), { signal: waitController.signal }))
  await Promise.race([written, aborted])
  waitController.abort()
}
