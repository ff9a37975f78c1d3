interface StepSample {
  readonly sequences: number
  readonly stepMs: number
}

/** Latest samples that count. */
const MAX_SAMPLES = 24

/** Batch at which a step is assumed to take twice as long as an empty one, until learned otherwise. */
const ASSUMED_DOUBLING_SEQUENCES = 50

/** Weight of that assumption against the samples. */
const ASSUMPTION_WEIGHT = 2

/** Samples longer than the typical one by this factor are steps that computed a prompt. */
const OUTLIER_FACTOR = 1.4

/** Learns how long a decode step of one target takes by its batch size: a base and a slope. */
export class StepModel {
  /** Creates a model that knows nothing. */
  static create (): StepModel {
    return new StepModel()
  }

  private readonly samples: StepSample[] = []
  private baseMs = 0
  private slopeMs = 0

  /** @internal */
  private constructor () {}

  /**
   * Observes one step.
   * @param sequences - Batch size.
   * @param stepMs - Its duration in milliseconds.
   */
  observeStep (sequences: number, stepMs: number): void {
    if (sequences <= 0 || stepMs <= 0) return
    this.samples.push({ sequences, stepMs })
    if (this.samples.length > MAX_SAMPLES) this.samples.shift()
    this.fit()
  }

  /**
   * Estimates the duration of a step; 0 while nothing is known.
   * @param sequences - Batch size.
   */
  estimateStepMs (sequences: number): number {
    return this.baseMs + this.slopeMs * sequences
  }

  /**
   * Estimates the largest batch whose step stays within a duration.
   * @param limitMs - Duration in milliseconds.
   */
  estimateMaxSequences (limitMs: number): number {
    if (this.slopeMs <= 0) return Infinity
    return Math.max(0, Math.floor((limitMs - this.baseMs) / this.slopeMs))
  }

  /** Fits a line by least squares, drawn towards the assumed ratio of base and slope. */
  private fit (): void {
    const ratios = this.samples.map(sample => computeRatio(sample)).sort((a, b) => a - b)
    const typical = ratios[Math.floor(ratios.length / 3)] as number
    const kept = this.samples.filter(sample => computeRatio(sample) <= typical * OUTLIER_FACTOR)
    const count = kept.length + ASSUMPTION_WEIGHT
    const sumX = computeSum(kept, sample => sample.sequences) - ASSUMPTION_WEIGHT * ASSUMED_DOUBLING_SEQUENCES
    const sumXX = computeSum(kept, sample => sample.sequences ** 2) + ASSUMPTION_WEIGHT * ASSUMED_DOUBLING_SEQUENCES ** 2
    const sumY = computeSum(kept, sample => sample.stepMs)
    const sumXY = computeSum(kept, sample => sample.sequences * sample.stepMs)
    const determinant = count * sumXX - sumX ** 2
    if (determinant <= 0) return
    this.slopeMs = Math.max(0, (count * sumXY - sumX * sumY) / determinant)
    this.baseMs = Math.max(0, (sumY - this.slopeMs * sumX) / count)
  }
}

function computeRatio (sample: StepSample): number {
  return sample.stepMs / (1 + sample.sequences / ASSUMED_DOUBLING_SEQUENCES)
}

function computeSum (samples: readonly StepSample[], read: (sample: StepSample) => number): number {
  return samples.reduce((sum, sample) => sum + read(sample), 0)
}
