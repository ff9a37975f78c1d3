/** Encodes states as short strings. Encodings of components are cached, since states share most of their components. */
export class StateEncoder {
  /** Creates an encoder. */
  static create (): StateEncoder {
    return new StateEncoder()
  }

  private readonly numberByText = new Map<string, number>()
  private readonly numberByComponent = new WeakMap<object, string>()

  /** @internal */
  private constructor () {}

  /**
   * Encodes a state. All states must have their fields in the same order.
   * @param state - The state, which must be plain data.
   */
  encodeState (state: unknown): string {
    if (typeof state !== 'object' || state === null) return String(state)
    let text = ''
    for (const value of Object.values(state)) text += `${this.encodeComponent(value)},`
    return text
  }

  private encodeComponent (component: unknown): string {
    if (typeof component !== 'object' || component === null) return String(component)
    const cachedNumber = this.numberByComponent.get(component)
    if (cachedNumber !== undefined) return cachedNumber
    const text = Array.isArray(component) ? `[${component.map(value => this.encodeComponent(value)).join(',')}]` : JSON.stringify(component)
    const number = this.assignNumber(text)
    this.numberByComponent.set(component, number)
    return number
  }

  private assignNumber (text: string): string {
    const number = this.numberByText.get(text) ?? this.numberByText.size
    this.numberByText.set(text, number)
    return `#${number}`
  }
}
