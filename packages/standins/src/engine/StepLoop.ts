import { type CancelTimer } from '@fescuespoke/common'
import { type Batch, type StepPlan } from './Batch.js'
import { type EngineSettings } from './EngineOptions.js'
import { type Generation } from './Generation.js'

/** What a loop works with. */
export interface StepLoopOptions {
  readonly settings: EngineSettings
  readonly batch: Batch
  /** Is told of each token, after it has been added to the batch. */
  readonly handleToken: (generation: Generation) => void
  /** Is told when a step has been planned, or that there is none. */
  readonly handleStep: () => void
}

/** Runs one step of an engine after another while there is work. */
export class StepLoop {
  /**
   * Creates a loop that is idle.
   * @param options - What it works with.
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

  /** Gets the duration of the latest step in milliseconds. */
  getStepMs (): number {
    return this.stepMs
  }

  /** Gets the number of steps finished. */
  getStepCount (): number {
    return this.stepCount
  }

  /** Tells whether the loop is halted by a stall. */
  isStalled (): boolean {
    return this.options.settings.clock.nowMs() < this.stalledUntilMs
  }

  /**
   * Sets how many times longer each later step takes.
   * @param factor - Factor; 1 for the usual speed.
   */
  setSlowdownFactor (factor: number): void {
    this.slowdownFactor = factor
  }

  /**
   * Halts the loop for a while.
   * @param durationMs - Duration in milliseconds.
   */
  stall (durationMs: number): void {
    this.stalledUntilMs = Math.max(this.stalledUntilMs, this.options.settings.clock.nowMs() + durationMs)
  }

  /** Starts the loop unless it is running. */
  start (): void {
    this.cancelStep ??= this.options.settings.clock.startTimer(0, () => this.startStep())
  }

  /** Stops the loop for good. */
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
