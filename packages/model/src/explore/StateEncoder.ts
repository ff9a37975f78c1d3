/** Encodes states as short texts. The texts of parts are remembered, since states share most of their parts. */
export class StateEncoder {
  /** Creates an encoder. */
  static create (): StateEncoder {
    return new StateEncoder()
  }

  private readonly numbers = new Map<string, number>()
  private readonly known = new WeakMap<object, string>()

  /** @internal */
  private constructor () {}

  /**
   * Encodes a state whose fields stand in the same order in all states.
   * @param state - The state, plain data.
   */
  encodeState (state: unknown): string {
    if (typeof state !== 'object' || state === null) return String(state)
    let text = ''
    for (const value of Object.values(state)) text += `${this.encodePart(value)},`
    return text
  }

  private encodePart (part: unknown): string {
    if (typeof part !== 'object' || part === null) return String(part)
    const known = this.known.get(part)
    if (known !== undefined) return known
    const text = Array.isArray(part) ? `[${part.map(value => this.encodePart(value)).join(',')}]` : JSON.stringify(part)
    const number = this.getNumber(text)
    this.known.set(part, number)
    return number
  }

  private getNumber (text: string): string {
    const number = this.numbers.get(text) ?? this.numbers.size
    this.numbers.set(text, number)
    return `#${number}`
  }
}
