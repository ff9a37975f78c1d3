import { type AccountedBuffer } from '@fescuespoke/common'
import { type Attempt, type AttemptError, type AttemptHead } from '../targets/RelayTargetClient.js'

/** Maximum size of an answer that is buffered completely before its first byte is forwarded, in bytes. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** The buffered start of an answer, or the whole answer. */
export interface BufferedAnswer {
  readonly head: AttemptHead
  readonly buffer: AccountedBuffer
  /** Whether this is the whole answer. */
  readonly isComplete: boolean
}

/** Answer of a target to a call, or the error of the attempt. */
export type CallAnswer =
  | BufferedAnswer & { readonly kind: 'answer' }
  | { readonly kind: 'error', readonly error: AttemptError }

/**
 * Reads the answer of an attempt until it is complete or the buffer is full.
 * @param attempt - The attempt.
 * @param buffer - Receives the bytes of the answer.
 */
export async function readCallAnswer (attempt: Attempt, buffer: AccountedBuffer): Promise<CallAnswer> {
  const head = await attempt.head
  if (head.isErr) return { kind: 'error', error: head.error }
  while (buffer.getByteCount() < MAX_BUFFERED_BYTES) {
    const next = await attempt.readBytes()
    if (next.isErr) return { kind: 'error', error: next.error }
    if (next.value === undefined) return { kind: 'answer', head: head.value, buffer, isComplete: true }
    buffer.addBytes(next.value)
  }
  return { kind: 'answer', head: head.value, buffer, isComplete: false }
}
