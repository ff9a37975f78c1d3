import { type CancelTimer } from '@fescuespoke/common'
import { type Batch, type StepPlan } from './Batch.js'
import { type EngineSettings } from './EngineOptions.js'
import { type Generation } from './Generation.js'

/** Options of a step loop. */
export interface StepLoopOptions {
  readonly settings: EngineSettings
  readonly batch: Batch
  /** Called for each token after it has been added to the batch. */
  readonly handleToken: (generation: Generation) => void
  /** Called when a step has been planned and when there is no work for another step. */
  readonly handleStep: () => void
}

/** Runs the steps of an engine one after another while there is work. */
export class StepLoop {
  /**
   * Creates an idle loop.
   * @param options - Options of the loop.
   */
  static create (options: StepLoopOptions): StepLoop {
    return new StepLoop(options)
  }

  private slowdownFactor = 1
  private stepMs = 0
  private stepCount = 0
  private stalledUntilMs = 0
  private isStopped = false
  private cancelStep: CancelTimer | undefined

  /** @internal */
  private constructor (private readonly options: StepLoopOptions) {}

  /** Returns the duration of the latest step in milliseconds. */
  getStepMs (): number {
    return this.stepMs
  }

  /** Returns the number of finished steps. */
  getStepCount (): number {
    return this.stepCount
  }

  /** Returns whether the loop is paused by a stall. */
  isStalled (): boolean {
    return this.options.settings.clock.nowMs() < this.stalledUntilMs
  }

  /**
   * Sets the factor by which the duration of each later step is multiplied.
   * @param factor - Factor; 1 for the normal speed.
   */
  setSlowdownFactor (factor: number): void {
    this.slowdownFactor = factor
  }

  /**
   * Pauses the loop for a limited time.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.stalledUntilMs = Math.max(this.stalledUntilMs, this.options.settings.clock.nowMs() + durationMs)
  }

  /** Starts the loop unless it is already running. */
  start (): void {
    this.cancelStep ??= this.options.settings.clock.startTimer(0, () => this.startStep())
  }

  /** Stops the loop permanently. */
  stop (): void {
    this.isStopped = true
    this.cancelStep?.()
  }

  private startStep (): void {
    const { settings, batch } = this.options
    const plan = batch.scheduleStep()
    if (this.isStopped || (plan.decoding.length === 0 && plan.prefillTokens === 0)) {
      this.cancelStep = undefined
      this.options.handleStep()
      return
    }
    const { clock, stepBaseMs, stepSequenceMs, prefillTokenMs, speed } = settings
    const nominalStepMs = stepBaseMs + stepSequenceMs * batch.getRunningCount() + prefillTokenMs * plan.prefillTokens
    this.stepMs = nominalStepMs * this.slowdownFactor / speed
    this.options.handleStep()
    this.cancelStep = clock.startTimer(this.stepMs, () => this.finishStep(plan))
  }

  private finishStep (plan: StepPlan): void {
    const { clock } = this.options.settings
    if (this.isStalled()) {
      this.cancelStep = clock.startTimer(this.stalledUntilMs - clock.nowMs(), () => this.finishStep(plan))
      return
    }
    this.stepCount++
    for (const generation of plan.decoding) {
      if (generation.state === 'running') this.produceToken(generation)
    }
    if (!this.isStopped) this.startStep()
  }

  private produceToken (generation: Generation): void {
    this.options.batch.recordToken(generation)
    this.options.handleToken(generation)
  }
}
