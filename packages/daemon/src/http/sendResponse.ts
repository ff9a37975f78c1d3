import { once } from 'node:events'
import { type ServerResponse } from 'node:http'
import { type ErrorBody, type StreamEvent } from '@fescuespoke/schema'

/**
 * Sends a JSON response.
 * @param outgoing - The response.
 * @param status - HTTP status.
 * @param body - Value to serialize.
 */
export function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  if (outgoing.destroyed) return
  outgoing.writeHead(status, { 'content-type': 'application/json' })
  outgoing.end(JSON.stringify(body))
}

/**
 * Sends an error response.
 * @param outgoing - The response.
 * @param status - HTTP status.
 * @param body - Error code and message.
 */
export function sendError (outgoing: ServerResponse, status: number, body: ErrorBody): void {
  sendJson(outgoing, status, body)
}

/**
 * Sends events as JSON lines and waits while the reader falls behind (backpressure).
 * @param outgoing - The response.
 * @param events - The events.
 */
export async function sendEvents (outgoing: ServerResponse, events: AsyncIterable<StreamEvent>): Promise<void> {
  outgoing.writeHead(200, { 'content-type': 'application/x-ndjson', 'cache-control': 'no-store' })
  outgoing.flushHeaders()
  for await (const event of events) {
    if (outgoing.destroyed) return
    if (!outgoing.write(`${JSON.stringify(event)}\n`)) await waitForDrain(outgoing)
  }
  outgoing.end()
}

async function waitForDrain (outgoing: ServerResponse): Promise<void> {
  const settled = new AbortController()
  await Promise.race([
    once(outgoing, 'drain', { signal: settled.signal }).catch(() => undefined),
    once(outgoing, 'close', { signal: settled.signal }).catch(() => undefined)
  ])
  settled.abort()
}
