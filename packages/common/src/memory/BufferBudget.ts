import { totalmem } from 'node:os'

/** Share of the memory of the machine that buffers may use. */
export const BUFFER_MEMORY_SHARE = 1 / 8

/** Memory that a part of a buffer uses beside its bytes, in bytes; a sender of single bytes would fill the memory with it. */
export const BUFFER_OVERHEAD_BYTES = 256

/** Why a connection ended that held most of the buffered bytes, for the log. */
export const BUFFER_BUDGET_CAUSE = 'the process buffers too many bytes'

/** What a buffer holds bytes of: a request of a caller or its answer, an answer of a target, of the store or of the platform, or messages of a peer. */
export type BufferKind = 'callerRequest' | 'callerAnswer' | 'targetAnswer' | 'controlAnswer' | 'storeAnswer' | 'platformAnswer' | 'peerMessage'

/** What a buffer belongs to. */
export interface BufferOwner {
  readonly kind: BufferKind
  /** Id of the request, where there is one. */
  readonly request?: string
  /** Name of the target or the peer, where there is one. */
  readonly peer?: string
}

/** An account that was ended, since it held most when the budget was exceeded. */
export interface EndedBuffer extends BufferOwner {
  readonly bytes: number
}

/** Options of a buffer budget. */
export interface BufferBudgetOptions {
  /** Maximum number of bytes that all accounts together may hold; by default a share of the memory of the machine. */
  readonly maxBytes?: number
  /** Called with each account that is ended. */
  readonly handleEnd?: (ended: EndedBuffer) => void
}

/** Options of a buffer account. */
export interface BufferAccountOptions extends BufferOwner {
  /** Ends whatever fills the buffer; called at most once, when the budget is exceeded. */
  readonly end: () => void
}

/** Bytes that one connection or answer keeps in memory until they can be passed on or used. */
export interface BufferAccount {
  /**
   * Sets the number of bytes that are kept now; does nothing once the account is closed or was ended.
   * @param bytes - The number of bytes.
   */
  setBytes(bytes: number): void
  /** Records that the bytes are used by work that would be broken off, such as a request that was sent to a target. */
  markInUse(): void
  /** Releases all bytes. */
  close(): void
}

/** An open account. */
interface OpenAccount {
  readonly options: BufferAccountOptions
  bytes: number
  isInUse: boolean
}

/** Share of the largest number of bytes from which an account counts as one of the largest. */
const LARGE_SHARE = 1 / 2

/** Number of times that an account in use must hold the bytes of the largest one that is not, to be ended before it. */
const IN_USE_FACTOR = 8

/**
 * Bounds the bytes that a process keeps for all connections and answers together. When they exceed the budget, what keeps most is ended,
 * so that a sender without end loses its own buffer first and the others are served. Among those that keep similarly much, it is the one
 * that was opened first: what arrives slowly rather than a body that is just arriving. What is in use is spared while the others keep
 * comparably much.
 */
export class BufferBudget {
  /**
   * Creates a budget of which nothing is used.
   * @param options - Options of the budget.
   */
  static create (options: BufferBudgetOptions = {}): BufferBudget {
    return new BufferBudget(options)
  }

  private readonly accounts = new Set<OpenAccount>()
  private readonly maxBytes: number
  private usedBytes = 0

  /** @internal */
  private constructor (private readonly options: BufferBudgetOptions) {
    this.maxBytes = options.maxBytes ?? Math.floor(totalmem() * BUFFER_MEMORY_SHARE)
  }

  /**
   * Opens an account that holds nothing.
   * @param options - Options of the account.
   */
  openAccount (options: BufferAccountOptions): BufferAccount {
    const account: OpenAccount = { options, bytes: 0, isInUse: false }
    this.accounts.add(account)
    return {
      setBytes: bytes => this.setBytes(account, bytes),
      markInUse: () => { account.isInUse = true },
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
    while (this.usedBytes > this.maxBytes) this.endOne()
  }

  private closeAccount (account: OpenAccount): void {
    if (this.accounts.delete(account)) this.usedBytes -= account.bytes
  }

  private endOne (): void {
    const account = this.pickAccount()
    const { options: { end, ...owner }, bytes } = account
    this.closeAccount(account)
    this.options.handleEnd?.({ ...owner, bytes })
    end()
  }

  /** Picks the account to end. They are listed in the order in which they were opened. */
  private pickAccount (): OpenAccount {
    const accounts = [...this.accounts]
    const inUse = findLargest(accounts.filter(({ isInUse }) => isInUse))
    const idle = accounts.filter(({ isInUse }) => !isInUse)
    const largestIdle = findLargest(idle)
    if (inUse !== undefined && inUse.bytes > (largestIdle?.bytes ?? 0) * IN_USE_FACTOR) return inUse
    return idle.find(({ bytes }) => bytes >= largestIdle!.bytes * LARGE_SHARE)!
  }
}

function findLargest (accounts: readonly OpenAccount[]): OpenAccount | undefined {
  return accounts.reduce<OpenAccount | undefined>((largest, account) => largest === undefined || account.bytes > largest.bytes ? account : largest, undefined)
}
