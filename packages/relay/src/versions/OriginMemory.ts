import { type Clock } from '@fescuespoke/common'
import { type StreamOrigin } from './StreamOrigin.js'

/** A stream that a caller may resume. */
export interface RememberedStream {
  /** Id of the request that brought its first event. */
  readonly requestId: string
  readonly origin: StreamOrigin
  /** Clock reading at which it can no longer be resumed. */
  readonly expiresAtMs: number
  /** Whether peers still have to be told of it. */
  readonly isUntold: boolean
}

/** Maximum number of streams that are remembered. */
const MAX_STREAMS = 20_000

/** Remembers the origins of resumable streams for a limited time. */
export class OriginMemory {
  /**
   * Creates an empty memory.
   * @param clock - Clock that measures the time.
   */
  static create (clock: Clock): OriginMemory {
    return new OriginMemory(clock)
  }

  /** Streams in the order in which they were recorded. */
  private readonly streams = new Map<string, RememberedStream>()
  /** Ids of the streams of which peers have not been told. */
  private readonly untoldIds = new Set<string>()

  /** @internal */
  private constructor (private readonly clock: Clock) {}

  /**
   * Records a stream; drops the oldest ones when there are too many.
   * @param stream - The stream.
   */
  record (stream: RememberedStream): void {
    this.removeStream(stream.requestId)
    this.streams.set(stream.requestId, stream)
    if (stream.isUntold) this.untoldIds.add(stream.requestId)
    for (const { requestId, expiresAtMs } of this.streams.values()) {
      if (expiresAtMs > this.clock.nowMs() && this.streams.size <= MAX_STREAMS) return
      this.removeStream(requestId)
    }
  }

  /**
   * Returns the origin of a stream; undefined when it is not known.
   * @param requestId - Id of the request that brought its first event.
   */
  getOrigin (requestId: string): StreamOrigin | undefined {
    const stream = this.streams.get(requestId)
    return stream !== undefined && stream.expiresAtMs > this.clock.nowMs() ? stream.origin : undefined
  }

  /** Returns the streams of which peers have not been told, and marks them as told. */
  takeUntold (): RememberedStream[] {
    const untold = [...this.untoldIds].flatMap(requestId => this.streams.get(requestId) ?? []).filter(({ expiresAtMs }) => expiresAtMs > this.clock.nowMs())
    this.untoldIds.clear()
    for (const stream of untold) this.streams.set(stream.requestId, { ...stream, isUntold: false })
    return untold
  }

  private removeStream (requestId: string): void {
    this.streams.delete(requestId)
    this.untoldIds.delete(requestId)
  }
}
