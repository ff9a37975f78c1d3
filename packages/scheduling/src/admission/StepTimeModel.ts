import { sumValues } from '@fescuespoke/common'

interface StepTimeSample {
  readonly sequences: number
  readonly stepMs: number
}

/** Number of latest samples that the model is fitted to. */
const MAX_SAMPLES = 24

/** Batch size at which the prior assumes a step to take twice as long as at an empty batch. */
const PRIOR_DOUBLING_SEQUENCES = 50

/** Weight of the prior, as a number of samples. */
const PRIOR_WEIGHT = 2

/** Samples that exceed the typical one by this factor are steps that included prefill. */
const OUTLIER_FACTOR = 1.4

/** Models the duration of a target's decode steps as a linear function of the batch size. */
export class StepTimeModel {
  /** Creates a model without samples. */
  static create (): StepTimeModel {
    return new StepTimeModel()
  }

  private readonly samples: StepTimeSample[] = []
  private baseMs = 0
  private slopeMsPerSequence = 0

  /** @internal */
  private constructor () {}

  /**
   * Records the duration of one step.
   * @param sequences - Batch size.
   * @param stepMs - Duration in milliseconds.
   */
  observeStep (sequences: number, stepMs: number): void {
    if (sequences <= 0 || stepMs <= 0) return
    this.samples.push({ sequences, stepMs })
    if (this.samples.length > MAX_SAMPLES) this.samples.shift()
    this.fitLine()
  }

  /**
   * Estimates the duration of a step in milliseconds; 0 without samples.
   * @param sequences - Batch size.
   */
  estimateStepMs (sequences: number): number {
    return this.baseMs + this.slopeMsPerSequence * sequences
  }

  /**
   * Estimates the largest batch whose step stays within a duration; Infinity if the fitted slope is 0.
   * @param maxStepMs - Duration in milliseconds.
   */
  estimateMaxSequences (maxStepMs: number): number {
    if (this.slopeMsPerSequence <= 0) return Infinity
    return Math.max(0, Math.floor((maxStepMs - this.baseMs) / this.slopeMsPerSequence))
  }

  /** Fits a line by least squares, regularized towards the ratio of base and slope that the prior assumes. */
  private fitLine (): void {
    const normalizedStepsMs = this.samples.map(sample => normalizeStepMs(sample)).sort((a, b) => a - b)
    const typicalStepMs = normalizedStepsMs[Math.floor(normalizedStepsMs.length / 3)] as number
    const inliers = this.samples.filter(sample => normalizeStepMs(sample) <= typicalStepMs * OUTLIER_FACTOR)
    const count = inliers.length + PRIOR_WEIGHT
    const sumX = sumValues(inliers, sample => sample.sequences) - PRIOR_WEIGHT * PRIOR_DOUBLING_SEQUENCES
    const sumXX = sumValues(inliers, sample => sample.sequences ** 2) + PRIOR_WEIGHT * PRIOR_DOUBLING_SEQUENCES ** 2
    const sumY = sumValues(inliers, sample => sample.stepMs)
    const sumXY = sumValues(inliers, sample => sample.sequences * sample.stepMs)
    const determinant = count * sumXX - sumX ** 2
    if (determinant <= 0) return
    this.slopeMsPerSequence = Math.max(0, (count * sumXY - sumX * sumY) / determinant)
    this.baseMs = Math.max(0, (sumY - this.slopeMsPerSequence * sumX) / count)
  }
}

function normalizeStepMs (sample: StepTimeSample): number {
  return sample.stepMs / (1 + sample.sequences / PRIOR_DOUBLING_SEQUENCES)
}
