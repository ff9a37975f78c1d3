import { type Histogram, type JsHistogram } from 'hdr-histogram-js'

/** Longest output that is told apart, in tokens. */
export const MAX_OUTPUT_TOKENS = 262_144

const EDGE_RATIO = 1.25

/** Lengths at which survival is known, in tokens, ascending from 0. */
const EDGES: readonly number[] = listEdges()

/** Weight of the prior, in answers. */
const PRIOR_ANSWERS = 10
const PRIOR_SHORT_TOKENS = 300
const PRIOR_LONG_TOKENS = 2000
const PRIOR_LONG_SHARE = 0.3

/** Share of answers that are longer than each of a row of lengths. */
export class LengthTable {
  /**
   * Creates a table from learned lengths; where few are known, a broad prior fills in.
   * @param histograms - Learned lengths; each counts with its own answers.
   */
  static create (histograms: readonly Histogram[]): LengthTable {
    return new LengthTable(computeSurvival(histograms))
  }

  /** @internal */
  private constructor (private readonly survival: Float64Array) {}

  /**
   * Estimates the share of answers that are longer than a number of tokens.
   * @param tokens - Length in tokens.
   */
  estimateSurvival (tokens: number): number {
    if (tokens <= 0) return 1
    const position = findPosition(tokens)
    const index = Math.min(EDGES.length - 2, Math.floor(position))
    const share = Math.min(1, position - index)
    return (this.survival[index] as number) * (1 - share) + (this.survival[index + 1] as number) * share
  }

  /**
   * Estimates the length that a share of the answers does not exceed, in tokens.
   * @param share - Share from 0 to 1.
   */
  estimateQuantile (share: number): number {
    const index = this.survival.findIndex(survival => survival <= 1 - share)
    return EDGES[Math.max(0, index - 1)] ?? 0
  }

  /**
   * Estimates how many more tokens follow, given how many were produced.
   * @param producedTokens - Tokens so far.
   * @param maxTokens - Upper bound of the whole output.
   */
  estimateRemaining (producedTokens: number, maxTokens = MAX_OUTPUT_TOKENS): number {
    const present = this.estimateSurvival(producedTokens)
    if (present <= 0 || producedTokens >= maxTokens) return 0
    let sum = 0
    let from = producedTokens
    let before = present
    for (const edge of EDGES) {
      if (edge <= producedTokens) continue
      const to = Math.min(edge, maxTokens)
      const after = this.estimateSurvival(to)
      sum += (to - from) * (before + after) / 2
      if (edge >= maxTokens) break
      from = to
      before = after
    }
    return sum / present
  }
}

function listEdges (): number[] {
  const edges = [0]
  for (let edge = 1; edge < MAX_OUTPUT_TOKENS; edge = Math.max(edge + 1, Math.round(edge * EDGE_RATIO))) edges.push(edge)
  return [...edges, MAX_OUTPUT_TOKENS]
}

function findPosition (tokens: number): number {
  let low = 0
  let high = EDGES.length - 1
  while (high - low > 1) {
    const middle = (low + high) >> 1
    if ((EDGES[middle] as number) <= tokens) low = middle
    else high = middle
  }
  const from = EDGES[low] as number
  return low + (tokens - from) / ((EDGES[high] as number) - from)
}

function computeSurvival (histograms: readonly Histogram[]): Float64Array {
  const counts = new Float64Array(EDGES.length)
  for (const histogram of histograms) addCounts(counts, histogram)
  const total = counts.reduce((sum, count) => sum + count, 0)
  let longer = total
  return Float64Array.from(EDGES, (edge, index) => {
    longer -= counts[index] as number
    return (longer + PRIOR_ANSWERS * computePrior(edge)) / (total + PRIOR_ANSWERS)
  })
}

/** Counts each recorded length at the first edge that is not shorter. */
function addCounts (counts: Float64Array, histogram: Histogram): void {
  const values = (histogram as unknown as JsHistogram).recordedValuesIterator
  values.reset()
  while (values.hasNext()) {
    const step = values.next()
    const position = findPosition(Math.min(step.valueIteratedTo, MAX_OUTPUT_TOKENS))
    const index = Math.ceil(position)
    counts[index] = (counts[index] as number) + step.countAddedInThisIterationStep
  }
}

function computePrior (tokens: number): number {
  return (1 - PRIOR_LONG_SHARE) * Math.exp(-tokens / PRIOR_SHORT_TOKENS) + PRIOR_LONG_SHARE * Math.exp(-tokens / PRIOR_LONG_TOKENS)
}
