import { type Clock } from '@fescuespoke/common'
import { type TargetLoad } from '../loads/TargetLoads.js'
import { computeMedian } from './computeMedian.js'
import { type ObservedRun } from './TargetRuns.js'

/** Options of stream gaps. */
export interface StreamGapsOptions {
  readonly clock: Clock
  /** Returns the known load of the target. */
  readonly getLoad: () => TargetLoad
  /** Receives what was observed so far, several times during a stream. */
  readonly onObserved: (observed: Omit<ObservedRun, 'id' | 'kind'>) => void
}

/** Number of successive events over which a gap is averaged, since several events may arrive at the same moment. */
const EVENTS_PER_BLOCK = 4

/** Minimum number of blocks from which a speed is observed, and maximum number of the latest blocks that count. */
const MIN_BLOCKS = 4
const MAX_BLOCKS = 16

/** Number of undisturbed blocks that count as one run. */
const BLOCKS_PER_RUN = 4

/** Time for which writing to the caller may delay the reading of a stream without affecting its gaps, in milliseconds. */
const MAX_WRITE_MS = 2

interface Block {
  readonly gapMs: number
  readonly running: number
}

/** Measures the gaps between the events of one stream at one target. */
export class StreamGaps {
  /**
   * Creates gaps of a stream without events.
   * @param options - Options of the gaps.
   */
  static create (options: StreamGapsOptions): StreamGaps {
    return new StreamGaps(options)
  }

  private blocks: Block[] = []
  /** Blocks in which no prompt was pending at the target and the caller did not delay the stream. */
  private undisturbed: Block[] = []
  private eventsInBlock = 0
  private blockStartedAtMs: number | undefined
  private arrivedAtMs = 0
  private isDisturbed = true

  /** @internal */
  private constructor (private readonly options: StreamGapsOptions) {}

  /**
   * Records events when they arrive.
   * @param count - Number of events.
   */
  recordArrival (count: number): void {
    this.arrivedAtMs = this.options.clock.nowMs()
    if (this.blockStartedAtMs === undefined) return this.startBlock(true)
    this.eventsInBlock += count
    if (this.eventsInBlock >= EVENTS_PER_BLOCK) this.endBlock(this.blockStartedAtMs)
  }

  /** Records that the latest events were written to the caller; a slow caller delays the reading of the next ones. */
  recordWritten (): void {
    if (this.options.clock.nowMs() - this.arrivedAtMs > MAX_WRITE_MS) this.isDisturbed = true
  }

  private startBlock (isDisturbed: boolean): void {
    this.blockStartedAtMs = this.arrivedAtMs
    this.eventsInBlock = 0
    this.isDisturbed = isDisturbed
  }

  private endBlock (startedAtMs: number): void {
    const { running, pendingPrefillTokens = 0 } = this.options.getLoad()
    const isPrefilling = pendingPrefillTokens > 0
    const gapMs = (this.arrivedAtMs - startedAtMs) / this.eventsInBlock
    const block = { gapMs, running }
    this.blocks = [...this.blocks, block].slice(-MAX_BLOCKS)
    if (!this.isDisturbed && !isPrefilling) this.undisturbed = [...this.undisturbed, block].slice(-MAX_BLOCKS)
    this.startBlock(isPrefilling)
    this.notifyObserved()
  }

  private notifyObserved (): void {
    const { undisturbed } = this
    if (undisturbed.length < MIN_BLOCKS) return
    const typicalMs = computeMedian(undisturbed.map(({ gapMs }) => gapMs))!
    const running = computeMean(undisturbed.map(block => block.running))
    if (typicalMs > 0) this.options.onObserved({ typicalMs, excessMs: computeMean(this.blocks.map(({ gapMs }) => gapMs)) - typicalMs, running, weight: undisturbed.length / BLOCKS_PER_RUN })
  }
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
