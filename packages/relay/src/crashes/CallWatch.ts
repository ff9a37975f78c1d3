import { type RelayTarget } from '../model/RelayTarget.js'
import { type CrashDetector } from './CrashDetector.js'
import { type CrashEvidence } from './CrashEvidence.js'
import { type SuspectRequest } from './SuspectRequest.js'

/** Options of a watch. */
export interface CallWatchOptions {
  readonly evidence: CrashEvidence
  readonly detector: CrashDetector
  readonly request: SuspectRequest
}

/** Watches the attempts of one call: whether they prove it sound, or break off because it may have crashed their target. */
export class CallWatch {
  /**
   * Creates a watch.
   * @param options - Options of the watch.
   */
  static create (options: CallWatchOptions): CallWatch {
    return new CallWatch(options)
  }

  /** Resolves when it is known whether the last target that broke off crashed. */
  private lastCheck: Promise<void> | undefined
  /** The same of all of them; undefined where that need not be waited for. */
  private checks: Promise<unknown> | undefined

  /** @internal */
  private constructor (private readonly options: CallWatchOptions) {}

  /**
   * Records a whole answer of a target.
   * @param sentAtMs - Clock reading at which the attempt was sent.
   */
  recordAnswer (sentAtMs: number): void {
    const parts = this.options.request.listProvableParts()
    if (parts.length > 0) this.options.evidence.recordSoundRun(parts, sentAtMs)
  }

  /**
   * Records that the connection of an attempt broke before its answer was whole. The first loss of a call that no crash implicates delays nothing.
   * @param target - Its target.
   * @param hasBegun - Whether the answer had begun.
   */
  recordLoss (target: RelayTarget, hasBegun: boolean): void {
    const { detector, request } = this.options
    const mustWait = this.lastCheck !== undefined || request.isImplicated()
    const check = detector.recordLoss(target, request.describeSuspect(hasBegun))
    if (mustWait) this.checks = Promise.all([this.lastCheck, check])
    this.lastCheck = check
  }

  /** Returns the fingerprint of the call. */
  getFingerprint (): string {
    return this.options.request.getFingerprint()
  }

  /** Returns what resolves when it is known whether the targets that broke off crashed; undefined where that need not be waited for. */
  getCheck (): Promise<unknown> | undefined {
    return this.checks
  }

  /** Returns whether the call may be sent to a further target. */
  mayRepeat (): boolean {
    return !this.options.request.isSuspected()
  }
}
