import { type BufferAccount, type BufferBudget } from '@fescuespoke/common'
import { type AttemptHead } from '../targets/RelayTargetClient.js'
import { type AnswerSink } from './AnswerSink.js'
import { type RelayRefusal } from './RelayRequest.js'

/** Options of a sink that holds an answer back. */
export interface HeldBackSinkOptions {
  /** Destination of the answer. */
  readonly sink: AnswerSink
  /** Bounds the bytes of all answers that are held back; the largest one is passed on first. */
  readonly budget: BufferBudget
}

/** Number of bytes of an answer that are held back at most. */
const MAX_HELD_BYTES = 64 * 1024

/**
 * Holds an answer back until it is complete, so that a request whose answer breaks off gets a final answer in place of a part of one. An
 * answer that grows too large is passed on from then on.
 */
export class HeldBackSink implements AnswerSink {
  /**
   * Creates a sink that holds nothing.
   * @param options - Options of the sink.
   */
  static create (options: HeldBackSinkOptions): HeldBackSink {
    return new HeldBackSink(options)
  }

  private head: AttemptHead | undefined
  private held: Buffer[] = []
  private heldBytes = 0
  private isReleased = false
  private readonly sink: AnswerSink
  private readonly account: BufferAccount

  /** @internal */
  private constructor ({ sink, budget }: HeldBackSinkOptions) {
    this.sink = sink
    this.account = budget.openAccount({ kind: 'callerAnswer', end: () => { this.release() } })
    sink.callerSignal.addEventListener('abort', () => this.close())
  }

  /** @inheritdoc */
  get callerSignal (): AbortSignal {
    return this.sink.callerSignal
  }

  /** @inheritdoc */
  writeHead (head: AttemptHead): void {
    this.head = head
  }

  /** @inheritdoc */
  writeBytes (bytes: Buffer): Promise<void> | undefined {
    if (this.isReleased) return this.sink.writeBytes(bytes)
    this.held.push(bytes)
    this.heldBytes += bytes.length
    if (this.heldBytes > MAX_HELD_BYTES) return this.release()
    this.account.setBytes(this.heldBytes)
    return undefined
  }

  /** @inheritdoc */
  isWaitingForCaller (): boolean {
    return this.sink.isWaitingForCaller()
  }

  /** @inheritdoc */
  mayRefuse (): boolean {
    return !this.isReleased
  }

  /** @inheritdoc */
  end (): void {
    this.release()
    this.sink.end()
  }

  /** @inheritdoc */
  abort (): void {
    this.close()
    this.sink.abort()
  }

  /** @inheritdoc */
  refuse (refusal: RelayRefusal): void {
    this.close()
    this.sink.refuse(refusal)
  }

  /** Frees what is held. */
  close (): void {
    this.held = []
    this.heldBytes = 0
    this.account.close()
  }

  /** Passes on what is held, and from then on all bytes at once. */
  private release (): Promise<void> | undefined {
    if (this.isReleased) return undefined
    this.isReleased = true
    if (this.head !== undefined) this.sink.writeHead(this.head)
    const bytes = Buffer.concat(this.held)
    this.close()
    return bytes.length > 0 ? this.sink.writeBytes(bytes) : undefined
  }
}
