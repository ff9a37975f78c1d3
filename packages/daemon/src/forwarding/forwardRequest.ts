import { type IncomingMessage, type ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { type Dispatcher, request } from 'undici'

/** Header of a forwarded request, which must not be forwarded again. */
export const FORWARDED_HEADER = 'fescuespoke-forwarded'

/** Result of forwarding a request. */
export type ForwardResult = 'answered' | 'ownerUnreachable' | 'cut'

/** Options of forwarding. */
export interface ForwardOptions {
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  /** Request body, which has already been read. */
  readonly body: string | undefined
  /** Base URL of the owner. */
  readonly ownerUrl: string
  readonly dispatcher: Dispatcher
}

/**
 * Forwards a request to the instance that owns it and relays the response.
 * @param options - Options of forwarding.
 */
export async function forwardRequest (options: ForwardOptions): Promise<ForwardResult> {
  const { incoming, outgoing, body, ownerUrl, dispatcher } = options
  const abort = new AbortController()
  outgoing.once('close', () => abort.abort())
  try {
    const response = await request(`${ownerUrl}${incoming.url ?? '/'}`, {
      method: (incoming.method ?? 'GET') as Dispatcher.HttpMethod,
      headers: { [FORWARDED_HEADER]: '1', ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
      body,
      signal: abort.signal,
      dispatcher
    })
    outgoing.writeHead(response.statusCode, { 'content-type': response.headers['content-type'] ?? 'application/json' })
    outgoing.flushHeaders()
    await pipeline(response.body, outgoing)
    return 'answered'
  } catch {
    return outgoing.headersSent ? 'cut' : 'ownerUnreachable'
  }
}
