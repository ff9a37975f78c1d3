/** A complete event of a stream. */
export interface StreamEvent {
  /** Bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer
  /** Value of the `id` line; absent when there is none. */
  readonly id?: string
  /** Whether the event has a `data` line; others, such as comments, are not delivered to readers of the stream. */
  readonly hasData: boolean
  /** Whether it consists of comments only. */
  readonly isComment: boolean
  /** Whether it contains the head of an HTTP answer, which a target writes after the part of a stream that it could not end. */
  readonly hasAnswerHead: boolean
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** Maximum size of an event in bytes; a longer sequence of bytes is not treated as an event. */
const MAX_EVENT_BYTES = 1024 * 1024

const EMPTY = Buffer.alloc(0)

const COMMENT_LINES = /^(?::[^\n]*\n|\r?\n)*$/

/** A status line at the start of a line, or anywhere in a line if the next line is a header and no field of an event. */
const ANSWER_HEAD = /(?:^|\n)HTTP\/1\.\d |HTTP\/1\.\d \d{3}[^\n]{0,100}\n(?!(?:data|event|id|retry):)[\w-]+:/
const STATUS_LINE_START = 'HTTP/1.'

/** Smallest size of the buffer of an incomplete event, in bytes. */
const MIN_CAPACITY_BYTES = 4096

/** Number of bytes at the end of the searched bytes that may begin the empty line that ends an event. */
const MAX_PARTIAL_END_BYTES = 2

/** Splits the bytes of a stream into complete events, so that callers never receive part of an event. */
export class EventSplitter {
  /** Creates a splitter. */
  static create (): EventSplitter {
    return new EventSplitter()
  }

  /** Bytes of the incomplete event, at the start of a buffer with spare capacity. */
  private buffer: Buffer = EMPTY
  private length = 0
  /** Number of bytes in which no end of an event was found. */
  private searchedBytes = 0

  /** @internal */
  private constructor () {}

  /**
   * Adds bytes and returns the events that they complete.
   * @param bytes - The next bytes of the stream.
   * @returns The complete events; undefined when the bytes are not events.
   */
  addBytes (bytes: Buffer): StreamEvent[] | undefined {
    const pending = this.appendBytes(bytes)
    const events: StreamEvent[] = []
    let start = 0
    let from = Math.max(0, this.searchedBytes - MAX_PARTIAL_END_BYTES)
    for (;;) {
      const end = findEventEnd(pending, from)
      if (end < 0) break
      const event = pending.subarray(start, end)
      events.push(parseEvent(event))
      start = end
      from = end
    }
    this.keepRemainder(pending, start)
    return this.length > MAX_EVENT_BYTES ? undefined : events
  }

  /** Returns the size of the buffer of the incomplete event, in bytes. */
  getBufferedBytes (): number {
    return this.buffer.length
  }

  /** Returns the bytes of the incomplete event. */
  getRemainder (): Buffer {
    return this.buffer.subarray(0, this.length)
  }

  /** Returns the bytes of the incomplete event and those that follow. */
  private appendBytes (bytes: Buffer): Buffer {
    if (this.length === 0) return bytes
    const length = this.length + bytes.length
    if (length > this.buffer.length) this.enlargeBuffer(length)
    bytes.copy(this.buffer, this.length)
    return this.buffer.subarray(0, length)
  }

  private enlargeBuffer (requiredBytes: number): void {
    const enlarged = Buffer.allocUnsafe(Math.max(MIN_CAPACITY_BYTES, this.buffer.length * 2, requiredBytes))
    this.buffer.copy(enlarged, 0, 0, this.length)
    this.buffer = enlarged
  }

  /**
   * Keeps the bytes after the complete events; those events share the memory of the buffer, which is therefore not reused. Copies them, since
   * a few bytes would keep all that arrived with them in memory.
   */
  private keepRemainder (pending: Buffer, start: number): void {
    if (start > 0 || this.length === 0) this.buffer = Buffer.from(pending.subarray(start))
    this.length = pending.length - start
    this.searchedBytes = this.length
  }
}

/** Returns the index after the empty line that ends the next event, or -1. */
function findEventEnd (bytes: Buffer, searchFrom: number): number {
  let from = searchFrom
  for (;;) {
    const index = bytes.indexOf(LINE_FEED, from)
    if (index < 0) return -1
    if (bytes[index + 1] === LINE_FEED) return index + 2
    if (bytes[index + 1] === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3
    from = index + 1
  }
}

function parseEvent (bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1')
  const id = /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(text)?.[1]
  return {
    bytes,
    id,
    hasData: /(?:^|\n)data[:\r\n]/.test(text),
    isComment: id === undefined && COMMENT_LINES.test(text),
    hasAnswerHead: text.includes(STATUS_LINE_START) && ANSWER_HEAD.test(text)
  }
}
