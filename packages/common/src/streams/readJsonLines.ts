import { StringDecoder } from 'node:string_decoder'

/** Thrown when a line is too long or not valid JSON. */
export class JsonLineError extends Error {
  /** @internal */
  constructor (readonly kind: 'tooLong' | 'notJson', message: string) {
    super(message)
  }
}

/**
 * Reads a stream of newline-delimited JSON values. Throws {@link JsonLineError} for a line that is too long or not valid
 * JSON, and rethrows errors of the stream. A last line without a line break is dropped, because it may be truncated.
 * @param chunks - Stream of bytes in UTF-8.
 * @param maxLineCharacters - Maximum length of a line in characters.
 * @param onRemainder - Called with the length of the incomplete line in characters after each part of the stream.
 */
export async function * readJsonLines (chunks: AsyncIterable<Uint8Array>, maxLineCharacters: number, onRemainder?: (length: number) => void): AsyncGenerator<unknown, void, undefined> {
  const decoder = new StringDecoder('utf8')
  let remainder = ''
  for await (const chunk of chunks) {
    const lines = (remainder + decoder.write(Buffer.from(chunk))).split('\n')
    remainder = lines.pop() ?? ''
    onRemainder?.(remainder.length)
    for (const line of lines) {
      if (line.length > maxLineCharacters) throw new JsonLineError('tooLong', `line exceeds ${maxLineCharacters} characters`)
      if (line !== '') yield parseLine(line)
    }
    if (remainder.length > maxLineCharacters) throw new JsonLineError('tooLong', `line exceeds ${maxLineCharacters} characters`)
  }
}

function parseLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    throw new JsonLineError('notJson', `line is not valid JSON: ${line.slice(0, 80)}`)
  }
}
