import { Result } from 'true-myth'
import { AccountedBuffer } from '../memory/AccountedBuffer.js'
import { type BufferBudget, type BufferOwner } from '../memory/BufferBudget.js'

/** A body that can be ended with its connection. */
export interface EndableBody extends AsyncIterable<Buffer> {
  destroy(): unknown
}

/** Options of reading a body. */
export interface LimitedTextOptions {
  /** Maximum length of the body in bytes. */
  readonly maxBytes: number
  readonly bufferBudget: BufferBudget
  /** What the body belongs to. */
  readonly owner: BufferOwner
  /** Called when a part of the body has arrived. */
  readonly onBytes?: () => void
}

/** Why a body was not read to its end: it is too long, or the process buffers too many bytes and most for this body. */
export type UnreadText = 'tooLong' | 'dropped'

/**
 * Reads the body of an answer as text; closes its connection when the body is too long, or when the process buffers too many bytes.
 * @param body - The body.
 * @param options - Options of reading.
 */
export async function readLimitedText (body: EndableBody, { maxBytes, bufferBudget, owner, onBytes }: LimitedTextOptions): Promise<Result<string, UnreadText>> {
  const buffer = AccountedBuffer.create({ bufferBudget, owner, handleDrop: () => { body.destroy() } })
  try {
    for await (const chunk of body) {
      onBytes?.()
      buffer.addBytes(chunk)
      // Leaving the loop destroys the body, and its connection with it.
      if (buffer.getByteCount() > maxBytes) return Result.err('tooLong')
    }
    return buffer.isDropped() ? Result.err('dropped') : Result.ok(buffer.takeBytes().toString('utf8'))
  } catch (error) {
    if (buffer.isDropped()) return Result.err('dropped')
    throw error
  } finally {
    buffer.release()
  }
}
