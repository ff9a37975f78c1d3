import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { LengthTable, MAX_OUTPUT_TOKENS } from './LengthTable.js'

/** Answers after which a newer window of lengths is begun; the one before still counts. */
const WINDOW_ANSWERS = 2000

/** A table is made anew after this share of new answers. */
const REFRESH_SHARE = 0.05
const REFRESH_MIN_ANSWERS = 4

/** Answers of a workspace from which its own lengths are used in place of its service's. */
const OWN_TABLE_ANSWERS = 40

/** Share of the answers that are no longer than a short one. */
const SHORT_ANSWER_SHARE = 0.25

/** Most keys that are sent to another instance; each is about 0.3 kB. */
const MAX_SENT_KEYS = 40

interface LearnedLengths {
  current: Histogram
  previous: Histogram | undefined
  table: LengthTable
  answersSinceTable: number
  answers: number
}

/** Learns the lengths of outputs by service and workspace. */
export class OutputLengths {
  /** Creates a store that knows nothing. */
  static create (): OutputLengths {
    return new OutputLengths()
  }

  private readonly learned = new Map<string, LearnedLengths>()

  /** @internal */
  private constructor () {}

  /**
   * Observes the length of a complete output.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   * @param tokens - Length in tokens.
   */
  observeLength (service: string, workspace: string, tokens: number): void {
    this.addLength(formatKey(service, workspace), tokens)
    this.addLength(formatKey(service, ''), tokens)
  }

  /**
   * Gets the table of the workspace when enough is known of it, otherwise that of the service.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   */
  getTable (service: string, workspace: string): LengthTable {
    const own = this.learned.get(formatKey(service, workspace))
    if (own !== undefined && own.answers >= OWN_TABLE_ANSWERS) return own.table
    return this.getLearned(formatKey(service, '')).table
  }

  /**
   * Estimates the length of a short answer, in tokens; 0 while too little is known to rule any length out.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   */
  estimateShortLength (service: string, workspace: string): number {
    const answers = this.learned.get(formatKey(service, ''))?.answers ?? 0
    return answers < OWN_TABLE_ANSWERS ? 0 : this.getTable(service, workspace).estimateQuantile(SHORT_ANSWER_SHARE)
  }

  /** Encodes what was learned, services first, for another instance. */
  encodeHistograms (): Record<string, string> {
    const keys = [...this.learned.keys()].filter(key => (this.learned.get(key)?.answers ?? 0) > 0)
    keys.sort((a, b) => Number(b.endsWith('\u0000')) - Number(a.endsWith('\u0000')) || (a < b ? -1 : 1))
    const sent = keys.slice(0, MAX_SENT_KEYS)
    return Object.fromEntries(sent.map(key => [key, encodeIntoCompressedBase64(this.getLearned(key).current)]))
  }

  /**
   * Accepts what another instance has learned, where nothing is known here.
   * @param histograms - Encoded histograms.
   */
  acceptHistograms (histograms: Readonly<Record<string, string>>): void {
    for (const [key, text] of Object.entries(histograms)) {
      if ((this.learned.get(key)?.answers ?? 0) > 0) continue
      const histogram = decodeHistogram(text)
      if (histogram !== undefined) this.learned.set(key, createLearned(histogram))
    }
  }

  private addLength (key: string, tokens: number): void {
    const learned = this.getLearned(key)
    learned.current.recordValue(Math.max(1, Math.min(MAX_OUTPUT_TOKENS, tokens)))
    learned.answers++
    learned.answersSinceTable++
    if (learned.answersSinceTable >= Math.max(REFRESH_MIN_ANSWERS, learned.answers * REFRESH_SHARE)) refreshTable(learned)
  }

  private getLearned (key: string): LearnedLengths {
    const known = this.learned.get(key)
    if (known !== undefined) return known
    const learned = createLearned(createHistogram())
    this.learned.set(key, learned)
    return learned
  }
}

function createLearned (current: Histogram): LearnedLengths {
  return { current, previous: undefined, table: LengthTable.create([current]), answersSinceTable: 0, answers: current.totalCount }
}

function refreshTable (learned: LearnedLengths): void {
  const previous = learned.previous === undefined ? [] : [learned.previous]
  learned.table = LengthTable.create([learned.current, ...previous])
  learned.answersSinceTable = 0
  if (learned.current.totalCount < WINDOW_ANSWERS) return
  learned.previous = learned.current
  learned.current = createHistogram()
  learned.answers = WINDOW_ANSWERS
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: MAX_OUTPUT_TOKENS, numberOfSignificantValueDigits: 2 })
}

function decodeHistogram (text: string): Histogram | undefined {
  try {
    return decodeFromCompressedBase64(text, 32)
  } catch {
    return undefined
  }
}

function formatKey (service: string, workspace: string): string {
  return `${service}\u0000${workspace}`
}
