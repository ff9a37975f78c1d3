/** A complete event of a stream. */
export interface StreamEvent {
  /** Bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer
  /** Value of the `id` line; absent when there is none. */
  readonly id?: string
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** Maximum size of an event in bytes; a longer sequence of bytes is not treated as an event. */
const MAX_EVENT_BYTES = 1024 * 1024

const EMPTY = Buffer.alloc(0)

/** Splits the bytes of a stream into complete events, so that callers never receive part of an event. */
export class EventSplitter {
  /** Creates a splitter. */
  static create (): EventSplitter {
    return new EventSplitter()
  }

  private remainder: Buffer = EMPTY

  /** @internal */
  private constructor () {}

  /**
   * Adds bytes and returns the events that they complete.
   * @param bytes - The next bytes of the stream.
   * @returns The complete events; undefined when the bytes are not events.
   */
  addBytes (bytes: Buffer): StreamEvent[] | undefined {
    this.remainder = this.remainder.length === 0 ? bytes : Buffer.concat([this.remainder, bytes])
    const events: StreamEvent[] = []
    for (;;) {
      const end = findEventEnd(this.remainder)
      if (end < 0) break
      const event = this.remainder.subarray(0, end)
      events.push({ bytes: event, id: readEventId(event) })
      this.remainder = this.remainder.subarray(end)
    }
    return this.remainder.length > MAX_EVENT_BYTES ? undefined : events
  }

  /** Returns the bytes of the incomplete event. */
  getRemainder (): Buffer {
    return this.remainder
  }
}

/** Returns the index after the empty line that ends an event, or -1. */
function findEventEnd (bytes: Buffer): number {
  let from = 0
  for (;;) {
    const index = bytes.indexOf(LINE_FEED, from)
    if (index < 0) return -1
    if (bytes[index + 1] === LINE_FEED) return index + 2
    if (bytes[index + 1] === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3
    from = index + 1
  }
}

function readEventId (event: Buffer): string | undefined {
  const text = event.toString('latin1')
  const match = /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(text)
  return match?.[1]
}
