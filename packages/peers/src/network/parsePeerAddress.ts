import { Maybe } from 'true-myth'

/** Host and port of a peer. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}

const MAX_PORT = 65_535

/**
 * Parses an address of the form `host:port`. An IPv6 host may be enclosed in brackets.
 * @param text - Address to parse.
 */
export function parsePeerAddress (text: string): Maybe<PeerAddress> {
  const separator = text.lastIndexOf(':')
  const host = text.slice(0, Math.max(0, separator)).replace(/^\[(.*)\]$/, '$1')
  const portText = text.slice(separator + 1)
  const port = Number(portText)
  const isValid = host !== '' && /^\d{1,5}$/.test(portText) && port > 0 && port <= MAX_PORT
  return isValid ? Maybe.just({ host, port }) : Maybe.nothing()
}
