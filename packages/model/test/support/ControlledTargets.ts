import { type Target } from '@fescuespoke/common'
import {
  type CallError, type CallOptions, type CallReply, type GenerationEvents, type GenerationOptions, type TargetClient, type TargetError
} from '@fescuespoke/daemon'
import { type CacheEvent, type EngineEvent, type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'

type StreamItem = Result<EngineEvent, TargetError>
type CallResult = Result<CallReply, CallError>

/** One attempt of the owner at a target. The test controls its connection. */
export interface ControlledAttempt {
  /** Emits an event or an error on a generation's stream. */
  push: (item: StreamItem) => void
  /** Establishes the connection, and returns whether the request is sent. */
  connect: () => boolean
  /** Completes a call with a reply or an error. */
  reply: (answer: CallResult) => void
}

/** A target client whose connections are controlled by a test step by step. */
export class ControlledTargets implements TargetClient {
  /** Attempts in the order of their first connection. */
  readonly attempts: ControlledAttempt[] = []
  /** Number of tokens that the target of each generation has produced. */
  readonly producedTokens = new Map<string, number>()
  private readonly attemptIndexes = new Map<string, number>()

  async * openGeneration (_target: Target, options: GenerationOptions): GenerationEvents {
    const { generation, signal } = options
    const attemptIndex = this.attemptIndexes.get(generation) ?? this.attempts.length
    this.attemptIndexes.set(generation, attemptIndex)
    const queue = new ItemQueue(signal)
    this.attempts[attemptIndex] = { push: item => queue.push(item), connect: () => options.canSend?.() !== false, reply: () => undefined }
    for (let item = await queue.take(); item !== undefined; item = await queue.take()) {
      yield item
      if (item.isErr || item.value.type === 'end') return
    }
    yield Result.err('aborted')
  }

  async sendCall (_target: Target, options: CallOptions): Promise<CallResult> {
    return await new Promise(resolve => {
      const connect = (): boolean => {
        const canSend = options.canSend()
        if (!canSend) resolve(Result.err('withheld'))
        return canSend
      }
      this.attempts.push({ connect, reply: resolve, push: () => undefined })
    })
  }

  async cancelGeneration (): Promise<Result<null, TargetError>> {
    return Result.ok(null)
  }

  async fetchState (target: Target): Promise<Result<TargetState, TargetError>> {
    return Result.ok({ target: target.name, incarnation: '1', state: 'active' })
  }

  async fetchCacheEvents (): Promise<Result<CacheEvent[], TargetError>> {
    return Result.ok([])
  }

  async close (): Promise<void> {}
}

/** Queue of stream items for one reader, which waits for the next item until its signal is aborted. */
class ItemQueue {
  private readonly items: StreamItem[] = []
  private wake: () => void = () => undefined

  constructor (private readonly signal: AbortSignal) {
    signal.addEventListener('abort', () => this.wake())
  }

  push (item: StreamItem): void {
    this.items.push(item)
    this.wake()
  }

  async take (): Promise<StreamItem | undefined> {
    while (this.items.length === 0 && !this.signal.aborted) {
      await new Promise<void>(resolve => { this.wake = resolve })
    }
    return this.signal.aborted ? undefined : this.items.shift()
  }
}
