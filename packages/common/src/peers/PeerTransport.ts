import { type PeerMessage } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** Why a peer gave no answer. */
export type PeerError = 'unreachable' | 'timeout' | 'closed'

/** Type name of a peer message. */
export type PeerMessageType = Extract<PeerMessage, { type: string }>['type']

/** Peer message of one type. */
export type PeerMessageOf<T extends PeerMessageType> = Extract<PeerMessage, { type: T }>

/** Answers a request of a peer; nothing is sent back when it returns undefined. */
export type PeerHandler<T extends PeerMessageType> =
  (message: PeerMessageOf<T>, from: string) => AnyPeerMessage | undefined | Promise<AnyPeerMessage | undefined>

/** Any peer message that carries a type. */
export type AnyPeerMessage = PeerMessageOf<PeerMessageType>

/** Sends messages to other instances. Messages may be lost, delayed and repeated. */
export interface PeerTransport {
  /**
   * Sends a request and waits for its answer.
   * @param instance - Name of the peer.
   * @param message - The request.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  request<T extends PeerMessageType>(instance: string, message: AnyPeerMessage, timeoutMs: number): Promise<Result<PeerMessageOf<T>, PeerError>>
  /**
   * Sets the handler for requests of one type.
   * @param type - Type name of the message.
   * @param handler - Answers the request.
   */
  setHandler<T extends PeerMessageType>(type: T, handler: PeerHandler<T>): void
}
