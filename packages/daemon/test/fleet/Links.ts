/** One connection: once a message on it was lost, it stays silent for good. */
export interface Connection {
  /** Tells whether a message may pass now. */
  canDeliver(): boolean
}

/** Which parties can reach each other. */
export class Links {
  private readonly cutLinks = new Set<string>()

  /** Cuts or mends the link of two parties. */
  setCut (a: string, b: string, isCut: boolean): void {
    for (const key of [`${a} ${b}`, `${b} ${a}`]) {
      if (isCut) this.cutLinks.add(key)
      else this.cutLinks.delete(key)
    }
  }

  /** Mends every link. */
  heal (): void {
    this.cutLinks.clear()
  }

  /** Tells whether a new connection can be opened. */
  isOpen (a: string, b: string): boolean {
    return !this.cutLinks.has(`${a} ${b}`)
  }

  /** Opens a connection that does not recover from a cut. */
  connect (a: string, b: string): Connection {
    let isBroken = false
    return {
      canDeliver: () => {
        isBroken ||= !this.isOpen(a, b)
        return !isBroken
      }
    }
  }
}
