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
  /** Returns the current reading of a clock, in milliseconds; by default that of the process. */
  readonly nowMs?: () => number
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
  /** Clock reading since which it has held bytes. */
  sinceMs: number
  isInUse: boolean
}

/** Time that is added to the one for which bytes were held, in milliseconds: among what is newer than that, the number of bytes decides. */
const BASE_HOLD_MS = 1000

/** Number by which the cost of an account in use is divided. */
const IN_USE_DIVISOR = 8

/**
 * Bounds the bytes that a process keeps for all connections and answers together. When they exceed the budget, the account is ended that
 * costs most: its bytes times the time for which it has held any. So a sender without end loses its own buffer first, be it fast or slow,
 * and neither a small request nor a body that is just arriving is ended for it. What is in use is spared while the others cost comparably
 * much.
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
    const account: OpenAccount = { options, bytes: 0, sinceMs: 0, isInUse: false }
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
    if (account.bytes === 0) account.sinceMs = this.getNowMs()
    this.usedBytes += bytes - account.bytes
    account.bytes = bytes
    while (this.usedBytes > this.maxBytes) this.endOne()
  }

  private closeAccount (account: OpenAccount): void {
    if (this.accounts.delete(account)) this.usedBytes -= account.bytes
  }

  private endOne (): void {
    const account = this.findCostliest()
    const { options: { end, ...owner }, bytes } = account
    this.closeAccount(account)
    this.options.handleEnd?.({ ...owner, bytes })
    end()
  }

  private findCostliest (): OpenAccount {
    const nowMs = this.getNowMs()
    return [...this.accounts].reduce((a, b) => computeCost(b, nowMs) > computeCost(a, nowMs) ? b : a)
  }

  private getNowMs (): number {
    return this.options.nowMs?.() ?? performance.now()
  }
}

function computeCost ({ bytes, sinceMs, isInUse }: OpenAccount, nowMs: number): number {
  return bytes * (BASE_HOLD_MS + nowMs - sinceMs) / (isInUse ? IN_USE_DIVISOR : 1)
}
