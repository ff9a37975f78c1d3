import { createHash } from 'node:crypto'
import { type RequestEntry } from '../requests/RequestEntry.js'

/** Length of a fingerprint, in characters. */
const FINGERPRINT_CHARACTERS = 16

/**
 * Computes what a request has in common with its next submission under any id: its workspace, its service and what a target receives of
 * it. Priority and deadline are left out.
 * @param entry - The request.
 */
export function computeFingerprint ({ options: { workspace, body } }: RequestEntry): string {
  const { service, prompt, prefix, maxTokens, body: callBody } = body
  const content = JSON.stringify([workspace, service, prompt, prefix, maxTokens, callBody])
  return createHash('sha256').update(content).digest('base64url').slice(0, FINGERPRINT_CHARACTERS)
}
