import { type Target } from '@fescuespoke/common'
import {
  type CallError, type CallOptions, type CallReply, type GenerationEvents, type GenerationOptions, type TargetClient, type TargetError
} from '@fescuespoke/daemon'
import { type CacheEvent, type EngineEvent, type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'

type StreamItem = Result<EngineEvent, TargetError>
type CallAnswer = Result<CallReply, CallError>

/** One attempt of the owner at a target; the test decides what happens on its connection. */
export interface ControlledAttempt {
  /** Passes an event or an error of a generation's stream on. */
  push: (item: StreamItem) => void
  /** Establishes the connection of a call; tells whether the call leaves. */
  connect: () => boolean
  /** Answers a call. */
  reply: (answer: CallAnswer) => void
}

/** Targets whose connections are controlled by a test, step by step. */
export class ControlledTargets implements TargetClient {
  /** Attempts in the order of their first connection. */
  readonly attempts: ControlledAttempt[] = []
  /** Tokens that the target of each generation has produced. */
  readonly produced = new Map<string, number>()
  private readonly numbers = new Map<string, number>()

  async * openGeneration (_target: Target, options: GenerationOptions): GenerationEvents {
    const { generation, signal } = options
    const number = this.numbers.get(generation) ?? this.attempts.length
    this.numbers.set(generation, number)
    const queue = new ItemQueue(signal)
    this.attempts[number] = { push: item => queue.push(item), connect: () => options.canSend?.() !== false, reply: () => undefined }
    for (let item = await queue.take(); item !== undefined; item = await queue.take()) {
      yield item
      if (item.isErr || item.value.type === 'end') return
    }
    yield Result.err('aborted')
  }

  async sendCall (_target: Target, options: CallOptions): Promise<CallAnswer> {
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

/** Items that one reader waits for until it is aborted. */
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
