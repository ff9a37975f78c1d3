import { Maybe } from 'true-myth'

/** Host and port of a peer. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}

const MAX_PORT = 65_535

/**
 * Parses `host:port`; a host in IPv6 form may stand in brackets.
 * @param text - Text of the address.
 */
export function parsePeerAddress (text: string): Maybe<PeerAddress> {
  const separator = text.lastIndexOf(':')
  const host = text.slice(0, Math.max(0, separator)).replace(/^\[(.*)\]$/, '$1')
  const portText = text.slice(separator + 1)
  const port = Number(portText)
  const valid = host !== '' && /^\d{1,5}$/.test(portText) && port > 0 && port <= MAX_PORT
  return valid ? Maybe.just({ host, port }) : Maybe.nothing()
}
