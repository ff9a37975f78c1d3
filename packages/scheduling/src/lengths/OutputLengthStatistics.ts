import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { LengthDistribution, MAX_OUTPUT_TOKENS } from './LengthDistribution.js'

/** Answers after which a newer window of lengths is begun; the one before still counts. */
const WINDOW_SAMPLES = 2000

/** A table is made anew after this share of new answers. */
const REFRESH_FRACTION = 0.05
const MIN_REFRESH_SAMPLES = 4

/** Answers of a workspace from which its own lengths are used in place of its service's. */
const MIN_SAMPLES = 40

/** Share of the answers that are no longer than a short one. */
const SHORT_OUTPUT_QUANTILE = 0.25

/** Most keys that are sent to another instance; each is about 0.3 kB. */
const MAX_EXPORTED_KEYS = 40

interface LengthSamples {
  current: Histogram
  previous: Histogram | undefined
  distribution: LengthDistribution
  samplesSinceRefresh: number
  sampleCount: number
}

/** Learns the lengths of outputs by service and workspace. */
export class OutputLengthStatistics {
  /** Creates a store that knows nothing. */
  static create (): OutputLengthStatistics {
    return new OutputLengthStatistics()
  }

  private readonly samplesByKey = new Map<string, LengthSamples>()

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
  getDistribution (service: string, workspace: string): LengthDistribution {
    const workspaceSamples = this.samplesByKey.get(formatKey(service, workspace))
    if (workspaceSamples !== undefined && workspaceSamples.sampleCount >= MIN_SAMPLES) return workspaceSamples.distribution
    return this.getSamples(formatKey(service, '')).distribution
  }

  /**
   * Estimates the length of a short answer, in tokens; 0 while too little is known to rule any length out.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   */
  estimateShortLength (service: string, workspace: string): number {
    const serviceSampleCount = this.samplesByKey.get(formatKey(service, ''))?.sampleCount ?? 0
    return serviceSampleCount < MIN_SAMPLES ? 0 : this.getDistribution(service, workspace).estimateQuantile(SHORT_OUTPUT_QUANTILE)
  }

  /** Encodes what was learned, services first, for another instance. */
  encodeHistograms (): Record<string, string> {
    const keys = [...this.samplesByKey.keys()].filter(key => (this.samplesByKey.get(key)?.sampleCount ?? 0) > 0)
    keys.sort((a, b) => Number(b.endsWith('\u0000')) - Number(a.endsWith('\u0000')) || (a < b ? -1 : 1))
    const exportedKeys = keys.slice(0, MAX_EXPORTED_KEYS)
    return Object.fromEntries(exportedKeys.map(key => [key, encodeIntoCompressedBase64(this.getSamples(key).current)]))
  }

  /**
   * Accepts what another instance has learned, where nothing is known here.
   * @param histograms - Encoded histograms.
   */
  importHistograms (histograms: Readonly<Record<string, string>>): void {
    for (const [key, text] of Object.entries(histograms)) {
      if ((this.samplesByKey.get(key)?.sampleCount ?? 0) > 0) continue
      const histogram = decodeHistogram(text)
      if (histogram !== undefined) this.samplesByKey.set(key, createSamples(histogram))
    }
  }

  private addLength (key: string, tokens: number): void {
    const samples = this.getSamples(key)
    samples.current.recordValue(Math.max(1, Math.min(MAX_OUTPUT_TOKENS, tokens)))
    samples.sampleCount++
    samples.samplesSinceRefresh++
    if (samples.samplesSinceRefresh >= Math.max(MIN_REFRESH_SAMPLES, samples.sampleCount * REFRESH_FRACTION)) refreshDistribution(samples)
  }

  private getSamples (key: string): LengthSamples {
    const existing = this.samplesByKey.get(key)
    if (existing !== undefined) return existing
    const samples = createSamples(createHistogram())
    this.samplesByKey.set(key, samples)
    return samples
  }
}

function createSamples (current: Histogram): LengthSamples {
  return { current, previous: undefined, distribution: LengthDistribution.create([current]), samplesSinceRefresh: 0, sampleCount: current.totalCount }
}

function refreshDistribution (samples: LengthSamples): void {
  const previous = samples.previous === undefined ? [] : [samples.previous]
  samples.distribution = LengthDistribution.create([samples.current, ...previous])
  samples.samplesSinceRefresh = 0
  if (samples.current.totalCount < WINDOW_SAMPLES) return
  samples.previous = samples.current
  samples.current = createHistogram()
  samples.sampleCount = WINDOW_SAMPLES
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
