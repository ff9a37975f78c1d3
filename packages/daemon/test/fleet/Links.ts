/** One connection. After it has lost a message, it never delivers another one. */
export interface Connection {
  /** Returns whether a message is delivered at this moment. */
  canDeliver(): boolean
}

/** Simulated network links between pairs of endpoints. */
export class Links {
  private readonly cutLinks = new Set<string>()

  /** Cuts or restores the link between two endpoints. */
  setCut (a: string, b: string, isCut: boolean): void {
    for (const key of [`${a} ${b}`, `${b} ${a}`]) {
      if (isCut) this.cutLinks.add(key)
      else this.cutLinks.delete(key)
    }
  }

  /** Restores every link. */
  heal (): void {
    this.cutLinks.clear()
  }

  /** Returns whether a new connection can be opened. */
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
