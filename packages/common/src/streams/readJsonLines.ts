import { StringDecoder } from 'node:string_decoder'

/** Why reading lines of JSON stopped. */
export class JsonLineError extends Error {
  /** @internal */
  constructor (readonly kind: 'tooLong' | 'notJson', message: string) {
    super(message)
  }
}

/**
 * Reads one JSON value a line from a stream of bytes. Throws {@link JsonLineError} for a line that is too long or not JSON,
 * and whatever the stream itself throws. A last line without a line break is dropped, since it may be cut.
 * @param chunks - Stream of bytes.
 * @param maxLineCharacters - Longest line in characters.
 */
export async function * readJsonLines (chunks: AsyncIterable<Uint8Array>, maxLineCharacters: number): AsyncGenerator<unknown, void, undefined> {
  const decoder = new StringDecoder('utf8')
  let rest = ''
  for await (const chunk of chunks) {
    const lines = (rest + decoder.write(Buffer.from(chunk))).split('\n')
    rest = lines.pop() ?? ''
    for (const line of lines) {
      if (line.length > maxLineCharacters) throw new JsonLineError('tooLong', `a line has more than ${maxLineCharacters} characters`)
      if (line !== '') yield parseLine(line)
    }
    if (rest.length > maxLineCharacters) throw new JsonLineError('tooLong', `a line has more than ${maxLineCharacters} characters`)
  }
}

function parseLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    throw new JsonLineError('notJson', `a line is not JSON: ${line.slice(0, 80)}`)
  }
}
