import { type Clock } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { StepTimeModel } from '../admission/StepTimeModel.js'
import { type TargetStateCache } from './TargetStateCache.js'

/** Capacity of a target and its last reported load. */
export interface TargetCapacity {
  /** Cache memory available for planning, in tokens; Infinity if the target reports no limit. */
  readonly capacityTokens: number
  /** Largest batch whose step time stays within the token interval. */
  readonly maxSequences: number
  /** Reported cache memory in use, in tokens. */
  readonly usedTokens: number
  /** Reported number of running and waiting requests. */
  readonly reportedSequences: number
  /** Expected step time at the largest batch, in milliseconds. */
  readonly stepMs: number
}

/** Options of the target capacities. */
export interface TargetCapacitiesOptions {
  readonly clock: Clock
  readonly stateCache: TargetStateCache
  readonly tokenIntervalMs: number
}

/** Largest batch of a target that does not report one. */
const DEFAULT_MAX_SEQUENCES = 32

/** Fraction of a target's memory that is available for planning. The engine itself keeps the rest free. */
const USABLE_MEMORY_FRACTION = 0.98

/** Fraction of the token interval that a decode step without prefill may take. */
const PLANNED_STEP_FRACTION = 0.9

/** Smallest batch that is planned for a target that is not excluded. */
const MIN_SEQUENCES = 1

/** Derives the capacity of each target from its state reports and a fitted model of its step time. */
export class TargetCapacities {
  /**
   * Creates the capacities.
   * @param options - Options.
   */
  static create (options: TargetCapacitiesOptions): TargetCapacities {
    return new TargetCapacities(options)
  }

  private readonly stepTimeModels = new Map<string, StepTimeModel>()

  /** @internal */
  private constructor (private readonly options: TargetCapacitiesOptions) {}

  /**
   * Records a state report.
   * @param target - Name of the target.
   * @param report - The report.
   */
  observeReport (target: string, report: TargetState): void {
    if (report.running === undefined || report.stepMs === undefined) return
    this.getStepTimeModel(target).observeStep(report.running, report.stepMs)
  }

  /**
   * Returns the capacity of a target.
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
