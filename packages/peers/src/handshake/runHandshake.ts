import { type AnyPeerMessage, type PeerMessageOf, type PeerMessageType, type Random } from '@fescuespoke/common'
import { type Hello } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { type PeerConnection } from '../network/PeerConnection.js'
import { computeProof, type HandshakeRole, isProofValid } from './computeProof.js'

/** Version of the peer protocol that this program speaks. */
export const PEER_PROTOCOL = 1

/** Versions of the peer protocol that this program understands. */
const SUPPORTED_PROTOCOLS: ReadonlySet<number> = new Set([PEER_PROTOCOL])

const NONCE_BYTES = 16

/** Why a handshake failed. */
export type HandshakeFault = 'malformed' | 'wrongVersion' | 'wrongFleet' | 'wrongKey' | 'wrongInstance' | 'connectFailed'

/** Who this instance is towards its peers. */
export interface PeerIdentity {
  readonly fleet: string
  /** Secret of the fleet. */
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
  /** Peer that has to be at the other end; any when absent. */
  readonly expectedInstance?: string
}

/**
 * Runs the handshake of the side that opened the connection and returns the hello of the other side.
 * @param options - Options of the handshake.
 * @internal
 */
export async function runDialerHandshake (options: HandshakeOptions): Promise<Result<Hello, HandshakeFault>> {
  const own = createHello(options)
  sendMessage(options, own)
  const hello = await readHello(options)
  if (hello.isErr) return hello
  const proved = await checkProof(options, 'acceptor', hello.value, own)
  // A side with another key gets the proof as well, so that both sides know and count the cause.
  if (proved.isOk || proved.error === 'wrongKey') sendProof(options, 'dialer', own, hello.value)
  return proved
}

/**
 * Runs the handshake of the side that accepted the connection and returns the hello of the other side.
 * @param options - Options of the handshake.
 * @internal
 */
export async function runAcceptorHandshake (options: HandshakeOptions): Promise<Result<Hello, HandshakeFault>> {
  const own = createHello(options)
  const hello = await readHello(options)
  // The hello is sent to refused peers as well, so that both sides know and count the cause.
  if (hello.isOk || hello.error === 'wrongVersion' || hello.error === 'wrongFleet') sendMessage(options, own)
  if (hello.isErr) return hello
  sendProof(options, 'acceptor', own, hello.value)
  return await checkProof(options, 'dialer', hello.value, own)
}

function createHello ({ identity, random }: HandshakeOptions): Hello {
  const { fleet, instance, incarnation, availabilityZone, region } = identity
  const nonce = random.nextText(NONCE_BYTES)
  return { type: 'hello', protocol: PEER_PROTOCOL, fleet, instance, incarnation, availabilityZone, region, nonce }
}

async function readHello (options: HandshakeOptions): Promise<Result<Hello, HandshakeFault>> {
  const hello = await readMessage(options, 'hello')
  if (hello.isErr) return hello
  const { protocol, fleet, instance, nonce } = hello.value
  if (!SUPPORTED_PROTOCOLS.has(protocol)) return Result.err('wrongVersion')
  if (fleet !== options.identity.fleet) return Result.err('wrongFleet')
  if (nonce === undefined) return Result.err('malformed')
  const expected = options.expectedInstance ?? instance
  return instance === expected ? hello : Result.err('wrongInstance')
}

async function checkProof (options: HandshakeOptions, role: HandshakeRole, own: Hello, other: Hello): Promise<Result<Hello, HandshakeFault>> {
  const message = await readMessage(options, 'helloProof')
  if (message.isErr) return Result.err(message.error)
  const valid = isProofValid(options.identity.fleetKey, { role, own, other }, message.value.proof)
  return valid ? Result.ok(own) : Result.err('wrongKey')
}

async function readMessage<T extends PeerMessageType> (options: HandshakeOptions, type: T): Promise<Result<PeerMessageOf<T>, HandshakeFault>> {
  const envelope = await options.connection.readEnvelope()
  if (envelope === undefined) return Result.err('connectFailed')
  if (envelope.kind !== 'handshake' || envelope.message.type !== type) return Result.err('malformed')
  return Result.ok(envelope.message as PeerMessageOf<T>)
}

function sendProof (options: HandshakeOptions, role: HandshakeRole, own: Hello, other: Hello): void {
  const proof = computeProof(options.identity.fleetKey, { role, own, other })
  sendMessage(options, { type: 'helloProof', proof })
}

function sendMessage (options: HandshakeOptions, message: AnyPeerMessage): void {
  options.connection.sendEnvelope({ kind: 'handshake', id: 0, message })
}
