import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { LengthDistribution, MAX_OUTPUT_TOKENS } from './LengthDistribution.js'

/** Number of outputs after which a new window is started. The previous window is still included in the distribution. */
const WINDOW_SAMPLES = 2000

/** A distribution is recomputed after this fraction of new outputs, and after at least this number of them. */
const REFRESH_FRACTION = 0.05
const MIN_REFRESH_SAMPLES = 4

/** Number of outputs from which the statistics of a workspace are used instead of those of its service. A service also needs this number for an estimate of its short outputs. */
const MIN_SAMPLES = 40

/** Quantile of the output length that counts as a short output. */
const SHORT_OUTPUT_QUANTILE = 0.25

/** Maximum number of keys that are sent to another instance. Each takes about 0.3 kB. */
const MAX_EXPORTED_KEYS = 40

interface LengthSamples {
  current: Histogram
  previous: Histogram | undefined
  distribution: LengthDistribution
  samplesSinceRefresh: number
  sampleCount: number
}

/** Collects statistics of output lengths by service and workspace. */
export class OutputLengthStatistics {
  /** Creates statistics without samples. */
  static create (): OutputLengthStatistics {
    return new OutputLengthStatistics()
  }

  private readonly samplesByKey = new Map<string, LengthSamples>()

  /** @internal */
  private constructor () {}

  /**
   * Records the length of a complete output.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   * @param tokens - Length in tokens.
   */
  observeLength (service: string, workspace: string, tokens: number): void {
    this.addLength(formatKey(service, workspace), tokens)
    this.addLength(formatKey(service, ''), tokens)
  }

  /**
   * Returns the length distribution of the workspace if it has enough samples, otherwise that of the service.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   */
  getDistribution (service: string, workspace: string): LengthDistribution {
    const workspaceSamples = this.samplesByKey.get(formatKey(service, workspace))
    if (workspaceSamples !== undefined && workspaceSamples.sampleCount >= MIN_SAMPLES) return workspaceSamples.distribution
    return this.getSamples(formatKey(service, '')).distribution
  }

  /**
   * Estimates the length of a short output, in tokens; 0 while there are too few samples to exclude any length.
   * @param service - Name of the service.
   * @param workspace - Name of the workspace.
   */
  estimateShortLength (service: string, workspace: string): number {
    const serviceSampleCount = this.samplesByKey.get(formatKey(service, ''))?.sampleCount ?? 0
    return serviceSampleCount < MIN_SAMPLES ? 0 : this.getDistribution(service, workspace).estimateQuantile(SHORT_OUTPUT_QUANTILE)
  }

  /** Encodes the current histograms for another instance, those of services first. */
  encodeHistograms (): Record<string, string> {
    const keys = [...this.samplesByKey.keys()].filter(key => (this.samplesByKey.get(key)?.sampleCount ?? 0) > 0)
    keys.sort((a, b) => Number(b.endsWith('\u0000')) - Number(a.endsWith('\u0000')) || (a < b ? -1 : 1))
    const exportedKeys = keys.slice(0, MAX_EXPORTED_KEYS)
    return Object.fromEntries(exportedKeys.map(key => [key, encodeIntoCompressedBase64(this.getSamples(key).current)]))
  }

  /**
   * Imports histograms of another instance for keys that have no samples here. Histograms that cannot be decoded are ignored.
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
