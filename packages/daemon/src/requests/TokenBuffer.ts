/** Tokens of one generation, held from some offset on. */
export class TokenBuffer {
  /** Creates an empty buffer that begins at offset 0. */
  static create (): TokenBuffer {
    return new TokenBuffer()
  }

  private first = 0
  private held: string[] = []

  /** @internal */
  private constructor () {}

  /** Gets the offset of the first token that is held. */
  getFirstOffset (): number {
    return this.first
  }

  /** Gets the offset after the last token. */
  getEndOffset (): number {
    return this.first + this.held.length
  }

  /**
   * Adds tokens; those that are known already are left out.
   * @param offset - Offset of the first token.
   * @param tokens - The tokens.
   */
  addTokens (offset: number, tokens: readonly string[]): void {
    const known = this.getEndOffset() - offset
    if (known < 0) throw new Error(`tokens at offset ${offset} leave a gap after ${this.getEndOffset()}`)
    for (const token of tokens.slice(known)) this.held.push(token)
  }

  /**
   * Lists the tokens from an offset on.
   * @param offset - Offset that is not below the first one held.
   * @param limit - Largest number of tokens.
   */
  listTokens (offset: number, limit: number): string[] {
    const start = offset - this.first
    return this.held.slice(start, start + limit)
  }

  /**
   * Removes the tokens before an offset.
   * @param offset - Offset of the first token to keep.
   */
  pruneBefore (offset: number): void {
    const count = Math.min(offset - this.first, this.held.length)
    if (count <= 0) return
    this.held = this.held.slice(count)
    this.first += count
  }

  /** Removes all tokens and begins at offset 0 again. */
  clear (): void {
    this.first = 0
    this.held = []
  }
}
