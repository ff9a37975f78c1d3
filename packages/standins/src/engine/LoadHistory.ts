import { type Clock } from '@fescuespoke/common'

/** Load of an engine at one time. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  readonly usedTokens: number
  readonly stepMs: number
  readonly preemptions: number
}

/** Load of an engine with its age. */
export interface DelayedLoad {
  readonly load: EngineLoad
  readonly ageMs: number
}

/** Options of a load history. */
export interface LoadHistoryOptions {
  readonly clock: Clock
  /** Delay of the reported load, in milliseconds. */
  readonly lagMs: number
}

interface LoadSample {
  readonly recordedAtMs: number
  load: EngineLoad
}

/** Maximum number of samples recorded within the delay. */
const MAX_SAMPLES_PER_LAG = 10
const IDLE_LOAD: EngineLoad = { running: 0, waiting: 0, usedTokens: 0, stepMs: 0, preemptions: 0 }

/** Records the load of an engine and returns it after a delay. */
export class LoadHistory {
  /**
   * Creates a history that starts with an idle engine.
   * @param options - Options of the history.
   */
  static create (options: LoadHistoryOptions): LoadHistory {
    return new LoadHistory(options)
  }

  /** Samples, oldest first. The first one is the sample reported at present. */
  private readonly samples: LoadSample[]

  /** @internal */
  private constructor (private readonly options: LoadHistoryOptions) {
    this.samples = [{ recordedAtMs: options.clock.nowMs() - options.lagMs, load: IDLE_LOAD }]
  }

  /**
   * Records the current load.
   * @param load - Current load.
   */
  record (load: EngineLoad): void {
    const nowMs = this.options.clock.nowMs()
    const latest = this.samples.at(-1) as LoadSample
    if (nowMs - latest.recordedAtMs < this.options.lagMs / MAX_SAMPLES_PER_LAG) latest.load = load
    else this.samples.push({ recordedAtMs: nowMs, load })
    this.prune(nowMs)
  }

  /** Returns the latest load whose sample is at least `lagMs` old. */
  getDelayedLoad (): DelayedLoad {
    const nowMs = this.options.clock.nowMs()
    this.prune(nowMs)
    const visibleSample = this.samples[0] as LoadSample
    return { load: visibleSample.load, ageMs: Math.max(this.options.lagMs, 0) }
  }

  private prune (nowMs: number): void {
    const latestVisibleMs = nowMs - this.options.lagMs
    while (this.samples.length > 1 && (this.samples[1] as LoadSample).recordedAtMs <= latestVisibleMs) this.samples.shift()
  }
}
