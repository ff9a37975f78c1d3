/** Codes of the characters after which a value or a member begins. */
const COMMA = 0x2c
const BRACKET = 0x5b
const BRACE = 0x7b

/**
 * Counts the values in a JSON text, or more, since characters in strings are counted too. Values of two or three characters use many times
 * the memory of their text when they are parsed.
 * @param text - The text.
 */
export function countJsonValues (text: string): number {
  let count = 1
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index)
    if (code === COMMA || code === BRACKET || code === BRACE) count++
  }
  return count
}
