/** Longest line that is accepted, in characters. */
const MAX_LINE_CHARACTERS = 16 * 1024 * 1024

/**
 * Reads lines of text from chunks of bytes. An unfinished last line is dropped.
 * @param chunks - The bytes, in UTF-8.
 */
export async function * readLines (chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let pending = ''
  for await (const chunk of chunks) {
    const lines = (pending + decoder.decode(chunk, { stream: true })).split('\n')
    pending = lines.pop() ?? ''
    if (pending.length > MAX_LINE_CHARACTERS) throw new Error(`line longer than ${MAX_LINE_CHARACTERS} characters`)
    yield * lines
  }
}
