/** Tokens of one generation, held from some offset on. */
export class TokenBuffer {
  /** Creates an empty buffer that begins at offset 0. */
  static create (): TokenBuffer {
    return new TokenBuffer()
  }

  private firstOffset = 0
  private tokens: string[] = []

  /** @internal */
  private constructor () {}

  /** Gets the offset of the first token that is held. */
  getFirstOffset (): number {
    return this.firstOffset
  }

  /** Gets the offset after the last token. */
  getEndOffset (): number {
    return this.firstOffset + this.tokens.length
  }

  /**
   * Adds tokens; those that are known already are left out.
   * @param offset - Offset of the first token.
   * @param tokens - The tokens.
   */
  addTokens (offset: number, tokens: readonly string[]): void {
    const duplicateCount = this.getEndOffset() - offset
    if (duplicateCount < 0) throw new Error(`tokens at offset ${offset} leave a gap after ${this.getEndOffset()}`)
    for (const token of tokens.slice(duplicateCount)) this.tokens.push(token)
  }

  /**
   * Lists the tokens from an offset on.
   * @param offset - Offset that is not below the first one held.
   * @param limit - Largest number of tokens.
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

  /** Removes all tokens and begins at offset 0 again. */
  clear (): void {
    this.firstOffset = 0
    this.tokens = []
  }
}
