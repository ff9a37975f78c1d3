/** One connection: once a message on it was lost, it stays silent for good. */
export interface Connection {
  /** Tells whether a message may pass now. */
  carries(): boolean
}

/** Which parties can reach each other. */
export class Links {
  private readonly cut = new Set<string>()

  /** Cuts or mends the link of two parties. */
  setCut (a: string, b: string, isCut: boolean): void {
    for (const key of [`${a} ${b}`, `${b} ${a}`]) {
      if (isCut) this.cut.add(key)
      else this.cut.delete(key)
    }
  }

  /** Mends every link. */
  heal (): void {
    this.cut.clear()
  }

  /** Tells whether a new connection can be opened. */
  isOpen (a: string, b: string): boolean {
    return !this.cut.has(`${a} ${b}`)
  }

  /** Opens a connection that does not recover from a cut. */
  connect (a: string, b: string): Connection {
    let isDead = false
    return {
      carries: () => {
        isDead ||= !this.isOpen(a, b)
        return !isDead
      }
    }
  }
}
