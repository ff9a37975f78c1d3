import { createHmac, timingSafeEqual } from 'node:crypto'
import { type Hello } from '@fescuespoke/schema'

/** Side of a connection. Part of the proof, so that a proof cannot be reflected to its sender. */
export type HandshakeRole = 'dialer' | 'acceptor'

/** Data covered by a proof. */
export interface ProofInput {
  /** Role of the side that sends the proof. */
  readonly role: HandshakeRole
  /** Hello of the side that sends the proof. */
  readonly proverHello: Hello
  /** Hello of the side that verifies the proof. Its nonce makes each proof valid only once. */
  readonly verifierHello: Hello
}

/**
 * Computes the proof of possession of the fleet key: HMAC-SHA256 (RFC 2104) over the role of the prover and both
 * hellos.
 * @param fleetKey - Shared secret of the fleet.
 * @param input - Data covered by the proof.
 */
export function computeProof (fleetKey: string, input: ProofInput): string {
  const signedText = JSON.stringify([input.role, listHelloFields(input.proverHello), listHelloFields(input.verifierHello)])
  return createHmac('sha256', fleetKey).update(signedText).digest('hex')
}

/**
 * Returns whether a proof is valid, using a constant-time comparison.
 * @param fleetKey - Shared secret of the fleet.
 * @param input - Data covered by the proof.
 * @param proof - Proof received from the other side.
 */
export function isProofValid (fleetKey: string, input: ProofInput, proof: string): boolean {
  const expectedProof = Buffer.from(computeProof(fleetKey, input))
  const receivedProof = Buffer.from(proof)
  return expectedProof.length === receivedProof.length && timingSafeEqual(expectedProof, receivedProof)
}

function listHelloFields (hello: Hello): unknown[] {
  return [hello.protocol, hello.fleet, hello.instance, hello.incarnation, hello.availabilityZone, hello.region, hello.nonce]
}
