/** Buffer of one generation's tokens, from a start offset to the last token. */
export class TokenBuffer {
  /** Creates an empty buffer that starts at offset 0. */
  static create (): TokenBuffer {
    return new TokenBuffer()
  }

  private firstOffset = 0
  private tokens: string[] = []

  /** @internal */
  private constructor () {}

  /** Returns the offset of the first buffered token. */
  getFirstOffset (): number {
    return this.firstOffset
  }

  /** Returns the offset after the last token. */
  getEndOffset (): number {
    return this.firstOffset + this.tokens.length
  }

  /**
   * Adds tokens and skips those that have already been added. Throws if they leave a gap.
   * @param offset - Offset of the first token.
   * @param tokens - The tokens.
   */
  addTokens (offset: number, tokens: readonly string[]): void {
    const duplicateCount = this.getEndOffset() - offset
    if (duplicateCount < 0) throw new Error(`tokens at offset ${offset} leave a gap after ${this.getEndOffset()}`)
    for (const token of tokens.slice(duplicateCount)) this.tokens.push(token)
  }

  /**
   * Lists the tokens from an offset.
   * @param offset - Offset of the first token; at least {@link getFirstOffset}.
   * @param limit - Maximum number of tokens.
   */
  listTokens (offset: number, limit: number): string[] {
    const start = offset - this.firstOffset
    return this.tokens.slice(start, start + limit)
  }

  /**
   * Removes the tokens before an offset.
   * @param offset - Offset of the first token to keep.
   */
  pruneBefore (offset: number): void {
    const count = Math.min(offset - this.firstOffset, this.tokens.length)
    if (count <= 0) return
    this.tokens = this.tokens.slice(count)
    this.firstOffset += count
  }

  /** Removes all tokens and resets the start offset to 0. */
  clear (): void {
    this.firstOffset = 0
    this.tokens = []
  }
}
