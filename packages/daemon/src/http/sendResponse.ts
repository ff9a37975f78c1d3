import { once } from 'node:events'
import { type ServerResponse } from 'node:http'
import { type ErrorBody, type StreamEvent } from '@fescuespoke/schema'

/**
 * Sends a JSON answer.
 * @param outgoing - The response.
 * @param status - HTTP status.
 * @param body - The answer.
 */
export function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  if (outgoing.destroyed) return
  outgoing.writeHead(status, { 'content-type': 'application/json' })
  outgoing.end(JSON.stringify(body))
}

/**
 * Sends an error.
 * @param outgoing - The response.
 * @param status - HTTP status.
 * @param body - What is wrong.
 */
export function sendError (outgoing: ServerResponse, status: number, body: ErrorBody): void {
  sendJson(outgoing, status, body)
}

/**
 * Sends events one a line, no faster than the reader takes them.
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
