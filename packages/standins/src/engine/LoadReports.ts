import { type Clock } from '@fescuespoke/common'

/** Load figures of an engine. */
export interface LoadFigures {
  readonly running: number
  readonly waiting: number
  readonly usedTokens: number
  readonly stepMs: number
  readonly preemptions: number
}

/** Load figures with their age. */
export interface AgedFigures {
  readonly figures: LoadFigures
  readonly ageMs: number
}

/** Options of the reports. */
export interface LoadReportsOptions {
  readonly clock: Clock
  /** Delay of the figures. */
  readonly lagMs: number
}

interface Sample {
  readonly atMs: number
  figures: LoadFigures
}

/** Samples kept for each lag. */
const SAMPLES_PER_LAG = 10
const IDLE_FIGURES: LoadFigures = { running: 0, waiting: 0, usedTokens: 0, stepMs: 0, preemptions: 0 }

/** Holds load figures back for a while. */
export class LoadReports {
  /**
   * Creates reports of an idle engine.
   * @param options - Options of the reports.
   */
  static create (options: LoadReportsOptions): LoadReports {
    return new LoadReports(options)
  }

  /** Samples, oldest first; the first is the one shown. */
  private readonly samples: Sample[]

  /** @internal */
  private constructor (private readonly options: LoadReportsOptions) {
    this.samples = [{ atMs: options.clock.nowMs() - options.lagMs, figures: IDLE_FIGURES }]
  }

  /**
   * Records the figures of now.
   * @param figures - The figures.
   */
  record (figures: LoadFigures): void {
    const nowMs = this.options.clock.nowMs()
    const latest = this.samples.at(-1) as Sample
    if (nowMs - latest.atMs < this.options.lagMs / SAMPLES_PER_LAG) latest.figures = figures
    else this.samples.push({ atMs: nowMs, figures })
    this.prune(nowMs)
  }

  /** Gets the figures as they were before the lag. */
  getLagged (): AgedFigures {
    const nowMs = this.options.clock.nowMs()
    this.prune(nowMs)
    const shown = this.samples[0] as Sample
    return { figures: shown.figures, ageMs: Math.max(this.options.lagMs, 0) }
  }

  private prune (nowMs: number): void {
    const visibleMs = nowMs - this.options.lagMs
    while (this.samples.length > 1 && (this.samples[1] as Sample).atMs <= visibleMs) this.samples.shift()
  }
}
