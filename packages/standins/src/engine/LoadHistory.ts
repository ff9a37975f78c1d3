import { type Clock } from '@fescuespoke/common'

/** Load figures of an engine. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  readonly usedTokens: number
  readonly stepMs: number
  readonly preemptions: number
}

/** Load figures with their age. */
export interface DelayedLoad {
  readonly load: EngineLoad
  readonly ageMs: number
}

/** Options of the reports. */
export interface LoadHistoryOptions {
  readonly clock: Clock
  /** Delay of the figures. */
  readonly lagMs: number
}

interface LoadSample {
  readonly recordedAtMs: number
  load: EngineLoad
}

/** Samples kept for each lag. */
const SAMPLES_PER_LAG = 10
const IDLE_LOAD: EngineLoad = { running: 0, waiting: 0, usedTokens: 0, stepMs: 0, preemptions: 0 }

/** Holds load figures back for a while. */
export class LoadHistory {
  /**
   * Creates reports of an idle engine.
   * @param options - Options of the reports.
   */
  static create (options: LoadHistoryOptions): LoadHistory {
    return new LoadHistory(options)
  }

  /** Samples, oldest first; the first is the one shown. */
  private readonly samples: LoadSample[]

  /** @internal */
  private constructor (private readonly options: LoadHistoryOptions) {
    this.samples = [{ recordedAtMs: options.clock.nowMs() - options.lagMs, load: IDLE_LOAD }]
  }

  /**
   * Records the figures of now.
   * @param load - The figures.
   */
  record (load: EngineLoad): void {
    const nowMs = this.options.clock.nowMs()
    const latest = this.samples.at(-1) as LoadSample
    if (nowMs - latest.recordedAtMs < this.options.lagMs / SAMPLES_PER_LAG) latest.load = load
    else this.samples.push({ recordedAtMs: nowMs, load })
    this.prune(nowMs)
  }

  /** Gets the figures as they were before the lag. */
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
