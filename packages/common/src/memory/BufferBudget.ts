/** Options of a buffer budget. */
export interface BufferBudgetOptions {
  /** Maximum number of bytes that all accounts together may hold. */
  readonly maxBytes: number
}

/** Options of a buffer account. */
export interface BufferAccountOptions {
  /** Ends whatever fills the buffer; called at most once, when the budget is exceeded and no other account holds more. */
  readonly end: () => void
}

/** Bytes that one connection or answer keeps in memory until they can be passed on or used. */
export interface BufferAccount {
  /**
   * Sets the number of bytes that are kept now; does nothing once the account is closed or was ended.
   * @param bytes - The number of bytes.
   */
  setBytes(bytes: number): void
  /** Releases all bytes. */
  close(): void
}

/** An open account. */
interface OpenAccount extends BufferAccountOptions {
  bytes: number
}

/**
 * Bounds the bytes that a process keeps for all connections and answers together. When they exceed the budget, what keeps most is ended,
 * so that a sender without end loses its own buffer first and the others are served.
 */
export class BufferBudget {
  /**
   * Creates a budget of which nothing is used.
   * @param options - Options of the budget.
   */
  static create (options: BufferBudgetOptions): BufferBudget {
    return new BufferBudget(options)
  }

  private readonly accounts = new Set<OpenAccount>()
  private usedBytes = 0

  /** @internal */
  private constructor (private readonly options: BufferBudgetOptions) {}

  /**
   * Opens an account that holds nothing.
   * @param options - Options of the account.
   */
  openAccount ({ end }: BufferAccountOptions): BufferAccount {
    const account: OpenAccount = { end, bytes: 0 }
    this.accounts.add(account)
    return {
      setBytes: bytes => this.setBytes(account, bytes),
      close: () => this.closeAccount(account)
    }
  }

  /** Returns the number of bytes that all accounts hold. */
  getUsedBytes (): number {
    return this.usedBytes
  }

  private setBytes (account: OpenAccount, bytes: number): void {
    if (!this.accounts.has(account)) return
    this.usedBytes += bytes - account.bytes
    account.bytes = bytes
    while (this.usedBytes > this.options.maxBytes) this.endLargest()
  }

  private closeAccount (account: OpenAccount): void {
    if (this.accounts.delete(account)) this.usedBytes -= account.bytes
  }

  private endLargest (): void {
    const largest = [...this.accounts].reduce((a, b) => b.bytes > a.bytes ? b : a)
    this.closeAccount(largest)
    largest.end()
  }
}
