import { type AttemptHead } from '../../src/targets/RelayTargetClient.js'
import { type AnswerSink } from '../../src/requests/AnswerSink.js'
import { type RelayRefusal } from '../../src/requests/RelayRequest.js'

/** Records what a caller would have received. */
export class FakeSink implements AnswerSink {
  /** Creates a sink. */
  static create (): FakeSink {
    return new FakeSink()
  }

  status: number | undefined
  text = ''
  endState: 'complete' | 'brokenOff' | 'refused' | undefined
  refusal: RelayRefusal | undefined
  /** Whether the caller does not read what was written. */
  isBlocked = false
  private readonly leaveController = new AbortController()

  private constructor () {}

  get callerSignal (): AbortSignal {
    return this.leaveController.signal
  }

  writeHead ({ status }: AttemptHead): void {
    if (this.status !== undefined) throw new Error('head written twice')
    this.status = status
  }

  async writeBytes (bytes: Buffer): Promise<void> {
    if (this.status === undefined || this.endState !== undefined) throw new Error('bytes written outside an answer')
    this.text += bytes.toString()
  }

  isWaitingForCaller (): boolean {
    return this.isBlocked
  }

  mayRefuse (): boolean {
    return this.status === undefined
  }

  end (): void {
    this.finish('complete')
  }

  abort (): void {
    this.finish('brokenOff')
  }

  refuse (refusal: RelayRefusal): void {
    if (this.status !== undefined) throw new Error('refusal written inside an answer')
    this.refusal = refusal
    this.finish('refused')
  }

  /** Simulates that the caller leaves. */
  leave (): void {
    this.leaveController.abort()
  }

  /** Returns a short description of what the caller received. */
  describe (): string {
    const { status, text, endState: end, refusal } = this
    return refusal === undefined ? `${status ?? 'nothing'} ${JSON.stringify(text)} ${end ?? 'open'}` : `${refusal.status} ${refusal.reason}`
  }

  private finish (end: 'complete' | 'brokenOff' | 'refused'): void {
    if (this.endState !== undefined) throw new Error(`answer ended twice: ${this.endState}, ${end}`)
    this.endState = end
  }
}
