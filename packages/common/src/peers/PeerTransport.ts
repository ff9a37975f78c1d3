import { type PeerMessage } from '@fescuespoke/schema'
import { type Result } from 'true-myth'

/** Reason why a request to a peer failed. */
export type PeerError = 'unreachable' | 'timeout' | 'closed'

/** Type name of a peer message. */
export type PeerMessageType = Extract<PeerMessage, { type: string }>['type']

/** Peer message of one type. */
export type PeerMessageOf<T extends PeerMessageType> = Extract<PeerMessage, { type: T }>

/** Handles a request of a peer and returns the answer. No answer is sent when it returns undefined. */
export type PeerHandler<T extends PeerMessageType> =
  (message: PeerMessageOf<T>, from: string) => AnyPeerMessage | undefined | Promise<AnyPeerMessage | undefined>

/** Peer message of any type. */
export type AnyPeerMessage = PeerMessageOf<PeerMessageType>

/** Sends messages to other instances. Messages can be lost, delayed or duplicated. */
export interface PeerTransport {
  /**
   * Sends a request and waits for its answer.
   * @param instance - Name of the peer.
   * @param message - The request.
   * @param timeoutMs - Maximum time to wait for the answer, in milliseconds.
   */
  request<T extends PeerMessageType>(instance: string, message: AnyPeerMessage, timeoutMs: number): Promise<Result<PeerMessageOf<T>, PeerError>>
  /**
   * Sets the handler of requests of one type.
   * @param type - Type name of the message.
   * @param handler - Handles each request of the type.
   */
  setHandler<T extends PeerMessageType>(type: T, handler: PeerHandler<T>): void
}
