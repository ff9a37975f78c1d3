import { type AnyPeerMessage, type PeerMessageOf, type PeerMessageType, type Random } from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type PeerConnection } from '../network/PeerConnection.js'
import { computeProof, type HandshakeRole, isProofValid } from './computeProof.js'

/** Version of the peer protocol that is sent in the handshake. */
export const PEER_PROTOCOL_VERSION = 1

/** Versions of the peer protocol that are accepted in the handshake. */
const SUPPORTED_PROTOCOL_VERSIONS: ReadonlySet<number> = new Set([PEER_PROTOCOL_VERSION])

const NONCE_BYTES = 16

/** Reason for a failed handshake. */
export type HandshakeFault = 'malformed' | 'wrongVersion' | 'wrongFleet' | 'wrongKey' | 'wrongInstance' | 'connectFailed'

/** Identity of the local instance that is presented to its peers. */
export interface PeerIdentity {
  readonly fleet: string
  /** Shared secret of the fleet. */
  readonly fleetKey: string
  readonly instance: string
  readonly incarnation: string
  readonly availabilityZone: string
  readonly region: string
}

/** Options of a handshake. @internal */
export interface HandshakeOptions {
  readonly connection: PeerConnection
  readonly identity: PeerIdentity
  readonly random: Random
  /** Name of the peer that must be at the other end; any peer is accepted if absent. */
  readonly expectedInstance?: string
}

/**
 * Runs the handshake on the side that opened the connection. Returns the hello of the other side.
 * @param options - Options of the handshake.
 * @internal
 */
export async function runDialerHandshake (options: HandshakeOptions): Promise<Result<Hello, HandshakeFault>> {
  const localHello = createHello(options)
  sendMessage(options, localHello)
  const remoteHello = await receiveHello(options)
  if (remoteHello.isErr) return remoteHello
  const verifiedHello = await receiveProof(options, 'acceptor', remoteHello.value, localHello)
  // Send the proof to a side with another key as well, so that both sides detect and count the mismatch.
  if (verifiedHello.isOk || verifiedHello.error === 'wrongKey') sendProof(options, 'dialer', localHello, remoteHello.value)
  return verifiedHello
}

/**
 * Runs the handshake on the side that accepted the connection. Returns the hello of the other side.
 * @param options - Options of the handshake.
 * @internal
 */
export async function runAcceptorHandshake (options: HandshakeOptions): Promise<Result<Hello, HandshakeFault>> {
  const localHello = createHello(options)
  const remoteHello = await receiveHello(options)
  // Send the hello to rejected peers as well, so that both sides detect and count the mismatch.
  if (remoteHello.isOk || remoteHello.error === 'wrongVersion' || remoteHello.error === 'wrongFleet') sendMessage(options, localHello)
  if (remoteHello.isErr) return remoteHello
  sendProof(options, 'acceptor', localHello, remoteHello.value)
  return await receiveProof(options, 'dialer', remoteHello.value, localHello)
}

function createHello ({ identity, random }: HandshakeOptions): Hello {
  const { fleet, instance, incarnation, availabilityZone, region } = identity
  const nonce = random.nextString(NONCE_BYTES)
  return { type: 'hello', protocol: PEER_PROTOCOL_VERSION, fleet, instance, incarnation, availabilityZone, region, nonce }
}

async function receiveHello (options: HandshakeOptions): Promise<Result<Hello, HandshakeFault>> {
  const hello = await receiveMessage(options, 'hello')
  if (hello.isErr) return hello
  const { protocol, fleet, instance, nonce } = hello.value
  if (!SUPPORTED_PROTOCOL_VERSIONS.has(protocol)) return Result.err('wrongVersion')
  if (fleet !== options.identity.fleet) return Result.err('wrongFleet')
  if (nonce === undefined) return Result.err('malformed')
  const expectedInstance = options.expectedInstance ?? instance
  return instance === expectedInstance ? hello : Result.err('wrongInstance')
}

async function receiveProof (options: HandshakeOptions, role: HandshakeRole, proverHello: Hello, verifierHello: Hello): Promise<Result<Hello, HandshakeFault>> {
  const message = await receiveMessage(options, 'helloProof')
  if (message.isErr) return Result.err(message.error)
  const isValid = isProofValid(options.identity.fleetKey, { role, proverHello, verifierHello }, message.value.proof)
  return isValid ? Result.ok(proverHello) : Result.err('wrongKey')
}

async function receiveMessage<T extends PeerMessageType> (options: HandshakeOptions, type: T): Promise<Result<PeerMessageOf<T>, HandshakeFault>> {
  const envelope = await options.connection.readEnvelope()
  if (envelope === undefined) return Result.err('connectFailed')
  if (envelope.kind !== 'handshake' || envelope.message.type !== type) return Result.err('malformed')
  return Result.ok(envelope.message as PeerMessageOf<T>)
}

function sendProof (options: HandshakeOptions, role: HandshakeRole, proverHello: Hello, verifierHello: Hello): void {
  const proof = computeProof(options.identity.fleetKey, { role, proverHello, verifierHello })
  sendMessage(options, { type: 'helloProof', proof })
}

function sendMessage (options: HandshakeOptions, message: AnyPeerMessage): void {
  options.connection.sendEnvelope({ kind: 'handshake', id: 0, message })
}
