import { createHash } from 'node:crypto'
import { type CrashSubject } from './CrashSubject.js'

/** First character of fingerprints; ids of parts of prompts are hexadecimal. */
const FINGERPRINT_MARK = '='

/** Length of a fingerprint without its mark, in base64url characters of 6 bits. */
const FINGERPRINT_LENGTH = 12

/**
 * Computes the fingerprint of a request: it is the same when the same caller sends the same request again, under any id and at any instance.
 * @param subject - The request.
 */
export function computeFingerprint ({ request: { method, host, path, body, sharedParts = [], key = '' }, workspace = key }: CrashSubject): string {
  const head = JSON.stringify([workspace, method, host.toLowerCase(), path, ...sharedParts])
  return FINGERPRINT_MARK + createHash('sha256').update(head).update(body).digest('base64url').slice(0, FINGERPRINT_LENGTH)
}

/**
 * Returns whether the id of a part is a fingerprint, and not that of a part of a prompt.
 * @param part - Id of the part.
 */
export function isFingerprint (part: string): boolean {
  return part.startsWith(FINGERPRINT_MARK)
}
