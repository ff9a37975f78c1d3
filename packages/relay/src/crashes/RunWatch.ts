import { type Clock } from '@fescuespoke/common'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type Attempt, type AttemptError } from '../targets/RelayTargetClient.js'
import { type CrashDetector } from './CrashDetector.js'
import { type CrashEvidence } from './CrashEvidence.js'
import { type SuspectRequest } from './SuspectRequest.js'

/** Options of a watch. */
export interface RunWatchOptions {
  readonly clock: Clock
  readonly evidence: CrashEvidence
  readonly detector: CrashDetector
  readonly request: SuspectRequest
}

/** Time from the first event of a run from which further events prove it sound, in milliseconds. */
const SOUND_AFTER_MS = 400

/** Watches the runs of one request: whether they prove sound, or break off while they may have crashed their engine. */
export class RunWatch {
  /**
   * Creates a watch.
   * @param options - Options of the watch.
   */
  static create (options: RunWatchOptions): RunWatch {
    return new RunWatch(options)
  }

  private firstEventAtMs: number | undefined
  private currentHead: Attempt['head'] | undefined
  private hasBegun = false
  private isSound = false
  /** Resolves when it is known whether the last engine crashed; undefined when no run has broken off. */
  private lossChecked: Promise<void> | undefined

  /** @internal */
  private constructor (private readonly options: RunWatchOptions) {}

  /**
   * Records that a run is sent to an engine.
   * @param head - Status and headers of its answer.
   */
  startRun (head: Attempt['head']): void {
    this.firstEventAtMs = undefined
    this.hasBegun = false
    this.currentHead = head
    head.then(({ isOk }) => { if (this.currentHead === head) this.hasBegun = isOk })
  }

  /** Records that events of the run arrived. */
  recordEvents (): void {
    if (this.isSound) return
    const nowMs = this.options.clock.nowMs()
    this.firstEventAtMs ??= nowMs
    if (nowMs - this.firstEventAtMs >= SOUND_AFTER_MS) this.recordSoundness()
  }

  /**
   * Records the end of the run.
   * @param target - Its engine.
   * @param end - Result of the attempt.
   * @param isBrokenOff - Whether the connection to the engine broke.
   */
  endRun (target: RelayTarget, end: 'complete' | AttemptError, isBrokenOff: boolean): void {
    if (this.isSound) return
    if (end === 'complete') this.recordSoundness()
    else if (end === 'lost' && isBrokenOff) this.lossChecked = this.options.detector.recordLoss(target, this.options.request.describeSuspect(this.hasBegun))
  }

  /** Returns whether the request may be repeated at another engine; waits until it is known whether the last one crashed. */
  async mayRepeat (): Promise<boolean> {
    if (this.lossChecked === undefined) return true
    await this.lossChecked
    return !this.isSuspected()
  }

  /** Returns whether the request may crash engines, by what is known now. */
  isSuspected (): boolean {
    return this.options.request.isSuspected()
  }

  private recordSoundness (): void {
    if (this.firstEventAtMs === undefined) return
    this.isSound = true
    this.options.evidence.recordSoundRun(this.options.request.listProvableParts(), this.firstEventAtMs)
  }
}
