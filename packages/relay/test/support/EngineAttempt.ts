import { Result } from 'true-myth'
import { type Attempt, type AttemptError, type AttemptHead, type AttemptOptions } from '../../src/targets/RelayTargetClient.js'

const HEAD: AttemptHead = { status: 200, headers: [], isSigned: true, isFramed: true, isEventStream: true }

/** Attempt whose events an engine adds one by one. */
export class EngineAttempt implements Attempt {
  readonly head: Promise<Result<AttemptHead, AttemptError>>
  end: AttemptError | 'complete' | undefined
  private hasConnectionBroken = false
  private readonly events: string[] = []
  private notifyHead: (head: Result<AttemptHead, AttemptError>) => void = () => undefined
  private notifyReader: () => void = () => undefined

  constructor (options: AttemptOptions, private readonly onEnd: () => void) {
    this.head = new Promise(resolve => { this.notifyHead = resolve })
    options.signal.addEventListener('abort', () => this.finish('aborted'))
  }

  addEvent (text: string): void {
    this.events.push(text)
    this.notifyHead(Result.ok(HEAD))
    this.notifyReader()
  }

  finish (end: AttemptError | 'complete'): void {
    if (this.end !== undefined) return
    this.end = end
    if (end !== 'complete') this.notifyHead(Result.err(end))
    this.notifyReader()
    this.onEnd()
  }

  /** Ends the answer as if its connection broke. */
  breakOff (): void {
    this.hasConnectionBroken ||= this.end === undefined
    this.finish('lost')
  }

  async readBytes (): Promise<Result<Buffer | undefined, AttemptError>> {
    while (this.events.length === 0 && this.end === undefined) await new Promise<void>(resolve => { this.notifyReader = resolve })
    const text = this.events.shift()
    if (text !== undefined) return Result.ok(Buffer.from(text))
    return this.end === 'complete' ? Result.ok(undefined) : Result.err(this.end!)
  }

  isSent (): boolean {
    return this.end !== 'notSent'
  }

  isBrokenOff (): boolean {
    return this.hasConnectionBroken
  }

  getCause (): undefined {
    return undefined
  }

  getNamedLimit (): 'none' {
    return 'none'
  }

  markLost (): void {
    this.finish('lost')
  }
}
