import { type Clock } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { StepTimeModel } from '../admission/StepTimeModel.js'
import { type TargetStateCache } from './TargetStateCache.js'

/** What a target can take and what it last reported. */
export interface TargetCapacity {
  /** Cache memory that may be planned for, in tokens; Infinity when the target has none. */
  readonly capacityTokens: number
  /** Largest batch whose step stays within the token interval. */
  readonly maxSequences: number
  /** Reported cache memory in use, in tokens. */
  readonly usedTokens: number
  /** Reported running and waiting requests. */
  readonly reportedSequences: number
  /** Expected duration of a step at the largest batch, in milliseconds. */
  readonly stepMs: number
}

/** Options of the capacities. */
export interface TargetCapacitiesOptions {
  readonly clock: Clock
  readonly stateCache: TargetStateCache
  readonly tokenIntervalMs: number
}

/** Sequences of a target that does not tell its largest batch. */
const DEFAULT_MAX_SEQUENCES = 32

/** Share of a target's memory that is planned for; the rest is what the engine itself keeps free. */
const USABLE_MEMORY_FRACTION = 0.98

/** Share of the token interval that a step without any prompt may take. */
const PLANNED_STEP_FRACTION = 0.9

/** Smallest batch planned for a target that is not excluded. */
const MIN_SEQUENCES = 1

/** Derives what each target can take from its reports and the learned duration of its steps. */
export class TargetCapacities {
  /**
   * Creates capacities.
   * @param options - Options.
   */
  static create (options: TargetCapacitiesOptions): TargetCapacities {
    return new TargetCapacities(options)
  }

  private readonly stepTimeModels = new Map<string, StepTimeModel>()

  /** @internal */
  private constructor (private readonly options: TargetCapacitiesOptions) {}

  /**
   * Observes a report.
   * @param target - Name of the target.
   * @param report - The report.
   */
  observeReport (target: string, report: TargetState): void {
    if (report.running === undefined || report.stepMs === undefined) return
    this.getStepTimeModel(target).observeStep(report.running, report.stepMs)
  }

  /**
   * Gets what a target can take.
   * @param target - Name of the target.
   */
  getCapacity (target: string): TargetCapacity {
    const report = this.options.stateCache.getLatestPoll(target).match<TargetState | undefined>({ Just: poll => poll.report, Nothing: () => undefined })
    const maxBatchSequences = report?.maxSequences ?? DEFAULT_MAX_SEQUENCES
    const stepTimeModel = this.getStepTimeModel(target)
    const plannedSequences = stepTimeModel.estimateMaxSequences(this.options.tokenIntervalMs * PLANNED_STEP_FRACTION)
    const maxSequences = Math.max(MIN_SEQUENCES, Math.min(maxBatchSequences, plannedSequences))
    return {
      capacityTokens: (report?.capacityTokens ?? Infinity) * USABLE_MEMORY_FRACTION,
      maxSequences,
      usedTokens: report?.usedTokens ?? 0,
      reportedSequences: (report?.running ?? 0) + (report?.waiting ?? 0),
      stepMs: stepTimeModel.estimateStepMs(maxSequences)
    }
  }

  private getStepTimeModel (target: string): StepTimeModel {
    const existing = this.stepTimeModels.get(target)
    if (existing !== undefined) return existing
    const stepTimeModel = StepTimeModel.create()
    this.stepTimeModels.set(target, stepTimeModel)
    return stepTimeModel
  }
}
