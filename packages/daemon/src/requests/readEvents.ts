import { type Clock } from '@fescuespoke/common'
import { type StreamEvent } from '@fescuespoke/schema'
import { type ReaderPosition, type RequestEntry } from './RequestEntry.js'

/** Maximum number of tokens per event. */
const MAX_TOKENS_PER_EVENT = 256

/** Options of {@link readEvents}. */
export interface ReadEventsOptions {
  readonly entry: RequestEntry
  /** Number of tokens that the reader has already received. */
  readonly offset: number
  readonly clock: Clock
  /** Maximum time between events, in milliseconds. */
  readonly heartbeatMs: number
  /** Aborted when the reader disconnects. */
  readonly signal: AbortSignal
  /** Returns whether readers are being redirected to other instances. */
  readonly isHandingOver: () => boolean
}

/**
 * Reads the events of a request from a token offset to its end. Tokens of an answer that is delivered as a whole are read
 * only once it is complete.
 * @param options - Options of the reader.
 */
export async function * readEvents (options: ReadEventsOptions): AsyncGenerator<StreamEvent, void, undefined> {
  const { entry, signal } = options
  const position: ReaderPosition = { offset: options.offset }
  const removeReader = entry.addReader(position)
  try {
    yield { type: 'accepted', request: entry.options.id, delivery: entry.getDeliveryMode() }
    yield * readUntilEnd(options, position)
  } finally {
    removeReader()
    if (!signal.aborted) entry.changes.notifyAll()
  }
}

async function * readUntilEnd (options: ReadEventsOptions, position: ReaderPosition): AsyncGenerator<StreamEvent, void, undefined> {
  const { entry, signal, clock, heartbeatMs } = options
  let announcedGeneration: string | undefined
  while (!signal.aborted) {
    const generation = entry.getGeneration().unwrapOr(undefined)
    if (generation !== undefined && generation.generation !== announcedGeneration) {
      announcedGeneration = generation.generation
      yield generation
    } else if (mustResumeElsewhere(options, position)) {
      yield { type: 'handover' }
      return
    } else if (hasReadableTokens(entry, position)) {
      yield readTokens(entry, position)
    } else if (entry.isEnded()) {
      yield * readEnd(entry)
      return
    } else if (!await entry.changes.waitForChange({ signal, timeout: { clock, durationMs: heartbeatMs } })) {
      yield { type: 'heartbeat' }
    }
  }
}

function mustResumeElsewhere (options: ReadEventsOptions, position: ReaderPosition): boolean {
  const { entry } = options
  if (entry.getGeneration().isNothing || entry.tokens.getEndOffset() === 0) return false
  return position.offset < entry.tokens.getFirstOffset() || (options.isHandingOver() && !entry.isEnded())
}

function hasReadableTokens (entry: RequestEntry, position: ReaderPosition): boolean {
  if (position.offset >= entry.tokens.getEndOffset()) return false
  return entry.getDeliveryMode() === 'stream' || isComplete(entry)
}

function isComplete (entry: RequestEntry): boolean {
  return entry.getEnd().mapOr(false, ({ outcome }) => outcome === 'complete')
}

function readTokens (entry: RequestEntry, position: ReaderPosition): StreamEvent {
  const offset = position.offset
  const tokens = entry.tokens.listTokens(offset, MAX_TOKENS_PER_EVENT)
  const generation = entry.getGeneration().mapOr('', ({ generation: id }) => id)
  entry.recordTokenDelivery()
  position.offset += tokens.length
  entry.changes.notifyAll()
  return { type: 'tokens', generation, offset, tokens }
}

function * readEnd (entry: RequestEntry): Generator<StreamEvent, void, undefined> {
  const reply = entry.getReply().unwrapOr(undefined)
  if (reply !== undefined) yield reply
  const end = entry.getEnd().unwrapOr(undefined)
  if (end === undefined) return
  entry.recordOutcomeRead()
  yield end
}
