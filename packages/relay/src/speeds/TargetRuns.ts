/** Kind of a run whose speed is observed. */
export type RunKind = 'stream' | 'call'

/** What was observed of one run at a target. */
export interface ObservedRun {
  /** Id of the run; a later observation of the same run replaces the earlier one. */
  readonly id: string
  readonly kind: RunKind
  /** Median of the gaps between events while no prompt was pending at the target, or the answer time of a call, in milliseconds. */
  readonly typicalMs: number
  /** Mean of all gaps less `typicalMs`, in milliseconds; it grows with the prompts that the target processes. */
  readonly excessMs: number
  /** Mean number of requests in progress at the target, as known to this instance. */
  readonly running: number
  /** Weight among the runs that are needed for a judgement; it grows with the observed length of a stream. */
  readonly weight: number
}

/** An observed run and the clock reading of its latest observation. */
export interface RunSample extends ObservedRun {
  readonly observedAtMs: number
}

/** Maximum number of runs that are kept for each target; half of them decide after a target has changed its speed. */
const MAX_RUNS: Record<RunKind, number> = { stream: 9, call: 24 }

/** Age at which an observed run is forgotten, in milliseconds. */
export const RUN_RETENTION_MS = 60_000

/** Latest runs of this instance at one incarnation of a target. */
export class TargetRuns {
  /** Creates runs without observations. */
  static create (): TargetRuns {
    return new TargetRuns()
  }

  private samples: RunSample[] = []

  /** @internal */
  private constructor () {}

  /**
   * Records what was observed of a run.
   * @param run - The run.
   * @param nowMs - Clock reading.
   */
  recordRun (run: ObservedRun, nowMs: number): void {
    this.samples = [...this.samples.filter(({ id }) => id !== run.id), { ...run, observedAtMs: nowMs }].slice(-MAX_RUNS[run.kind])
  }

  /**
   * Lists the runs that are not forgotten, the latest one last.
   * @param nowMs - Clock reading.
   */
  listRuns (nowMs: number): readonly RunSample[] {
    return this.samples.filter(({ observedAtMs }) => nowMs - observedAtMs < RUN_RETENTION_MS)
  }
}
