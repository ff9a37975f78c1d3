import { type Clock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type PublishedChanges, type PublishedError, type PublishedItem, type PublishedPage, type PublishedSource } from './PublishedItem.js'
import { type PublishedPosition, START_POSITION } from './PublishedPosition.js'

/** Options of a read of all pages. */
export interface ReadPagesOptions {
  readonly source: PublishedSource
  readonly clock: Clock
  readonly log: DecisionLog
  /** Ends the read after the current page. */
  readonly signal: AbortSignal
}

/** Maximum number of keys, and maximum size of all keys and values in bytes, that a read may contain. */
const MAX_READ_KEYS = 100_000
const MAX_READ_BYTES = 32 * 1024 * 1024

/** Time after which a read that has not reached its last page is given up, in milliseconds. */
const MAX_READ_MS = 30_000

/** The keys that were read, their size, and the position of the first page. */
interface KeyRead {
  readonly startedAtMs: number
  readonly items: PublishedItem[]
  bytes: number
  position?: PublishedPosition
}

/**
 * Reads all pages; the position is that of the first one. A read that does not reach its last page, or exceeds the maximum number or
 * size of keys, is an error, since keys that are absent from a read are deleted.
 * @param options - Options of the read.
 */
export async function readPages (options: ReadPagesOptions): Promise<Result<PublishedChanges, PublishedError>> {
  const { source, clock, signal } = options
  const read: KeyRead = { startedAtMs: clock.nowMs(), items: [], bytes: 0 }
  for (let after: string | undefined = ''; after !== undefined;) {
    if (signal.aborted) return Result.err('timeout')
    if (clock.nowMs() - read.startedAtMs >= MAX_READ_MS) return rejectRead(options, read, 'timeout')
    const page: Result<PublishedPage, PublishedError> = await source.fetchPage(after)
    if (page.isErr) return Result.err(page.error)
    const { nextAfter, position } = page.value
    if (nextAfter === after) return Result.err('malformed')
    if (read.position !== undefined && position.era !== read.position.era) return Result.err('restored')
    addPage(read, page.value)
    if (read.items.length > MAX_READ_KEYS || read.bytes > MAX_READ_BYTES) return rejectRead(options, read, 'tooLarge')
    after = nextAfter
  }
  return Result.ok({ items: read.items, position: read.position ?? START_POSITION })
}

function addPage (read: KeyRead, { items, position }: PublishedPage): void {
  read.position ??= position
  for (const item of items) {
    read.items.push(item)
    read.bytes += Buffer.byteLength(item.key) + Buffer.byteLength(item.value ?? '')
  }
}

function rejectRead ({ clock, log }: ReadPagesOptions, { items, bytes, startedAtMs }: KeyRead, error: PublishedError): Result<PublishedChanges, PublishedError> {
  log.recordStateChange('read of published keys given up', { error, keys: items.length, bytes, tookMs: Math.round(clock.nowMs() - startedAtMs) })
  return Result.err(error)
}
