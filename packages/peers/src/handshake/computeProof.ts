import { createHmac, timingSafeEqual } from 'node:crypto'
import { type Hello } from '@fescuespoke/schema'

/** Side of a connection; part of the proof, so that a proof cannot be sent back to its author. */
export type HandshakeRole = 'dialer' | 'acceptor'

/** What a proof covers. */
export interface ProofInput {
  /** Role of the side that proves. */
  readonly role: HandshakeRole
  /** Hello of the side that proves. */
  readonly own: Hello
  /** Hello of the side that checks; its nonce makes each proof valid only once. */
  readonly other: Hello
}

/**
 * Computes the proof that a side knows the fleet key: HMAC-SHA256 (RFC 2104) over its role and both hellos.
 * @param fleetKey - Secret of the fleet.
 * @param input - What the proof covers.
 */
export function computeProof (fleetKey: string, input: ProofInput): string {
  const text = JSON.stringify([input.role, listHelloFields(input.own), listHelloFields(input.other)])
  return createHmac('sha256', fleetKey).update(text).digest('hex')
}

/**
 * Tells whether a proof is right, in a time that does not depend on where it differs.
 * @param fleetKey - Secret of the fleet.
 * @param input - What the proof covers.
 * @param proof - Proof that the other side sent.
 */
export function isProofValid (fleetKey: string, input: ProofInput, proof: string): boolean {
  const expected = Buffer.from(computeProof(fleetKey, input))
  const given = Buffer.from(proof)
  return expected.length === given.length && timingSafeEqual(expected, given)
}

function listHelloFields (hello: Hello): unknown[] {
  return [hello.protocol, hello.fleet, hello.instance, hello.incarnation, hello.availabilityZone, hello.region, hello.nonce]
}
