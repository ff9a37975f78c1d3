import { type Clock } from '@fescuespoke/common'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type RelayRequest } from '../requests/RelayRequest.js'
import { CallWatch } from './CallWatch.js'
import { computeFingerprint, isFingerprint } from './computeFingerprint.js'
import { type CrashDetector } from './CrashDetector.js'
import { type CrashEvidence } from './CrashEvidence.js'
import { type CrashSubject } from './CrashSubject.js'
import { findPartSuspicions, type PartSuspicion, type SuspicionLevel } from './findPartSuspicions.js'
import { RunWatch } from './RunWatch.js'
import { type SuspectRequest } from './SuspectRequest.js'
import { type TrialSchedule } from './TrialSchedule.js'

/** Options of a crash guard. */
export interface CrashGuardOptions {
  readonly clock: Clock
  readonly evidence: CrashEvidence
  readonly detector: CrashDetector
  readonly trials: TrialSchedule
  readonly metrics: RelayMetrics
  readonly log: DecisionLog
}

/** What is suspected: parts of prompts, or a single request that comes again, by its fingerprint. */
type SuspicionKind = 'part' | 'request'

/** What the log says about a suspicion. */
const LOG_TEXTS: Record<SuspicionKind, Record<SuspicionLevel | 'cleared' | 'tried', string>> = {
  part: { suspected: 'prompt part suspected', blamed: 'prompt part blamed', cleared: 'prompt part cleared', tried: 'blamed prompt part tried again' },
  request: { suspected: 'request suspected', blamed: 'request blamed', cleared: 'request cleared', tried: 'blamed request tried again' }
}

/** Keeps requests from targets that would crash target after target, by what crashes and sound runs tell of the shared parts of their prompts and of their fingerprints. */
export class CrashGuard {
  /**
   * Creates a guard.
   * @param options - Options of the guard.
   */
  static create (options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options)
  }

  /** Suspicions by key of the parts. */
  private suspicions: ReadonlyMap<string, PartSuspicion> = new Map()
  private readonly fingerprints = new WeakMap<RelayRequest, string>()

  /** @internal */
  private constructor (private readonly options: CrashGuardOptions) {
    options.evidence.addListener(() => this.updateSuspicions())
  }

  /**
   * Creates a watch on the runs of a request whose answer is a stream.
   * @param subject - The request.
   */
  watchRuns (subject: CrashSubject): RunWatch {
    const { clock, evidence, detector } = this.options
    return RunWatch.create({ clock, evidence, detector, request: this.createSuspect(subject) })
  }

  /**
   * Creates a watch on the attempts of a call.
   * @param subject - The request.
   */
  watchCall (subject: CrashSubject): CallWatch {
    const { evidence, detector } = this.options
    return CallWatch.create({ evidence, detector, request: this.createSuspect(subject) })
  }

  /**
   * Returns whether a request must not be sent to a target, because requests like it crash targets.
   * @param subject - The request.
   */
  mustRefuse (subject: CrashSubject): boolean {
    const blamed = this.findBlamed(subject)
    if (blamed === undefined) return false
    const { trials, log, clock } = this.options
    const { id } = subject.request
    if (!trials.takeTurn(blamed, id)) return true
    log.recordDecision(id, LOG_TEXTS[classifySuspicion(blamed)].tried, { parts: blamed.parts, crashes: blamed.crashes, lastCrashMs: Math.round(clock.nowMs() - blamed.lastAtMs) })
    return false
  }

  /**
   * Returns the time until a request like this one may try again, in milliseconds; undefined when it is not blamed.
   * @param subject - The request.
   */
  getTrialWaitMs (subject: CrashSubject): number | undefined {
    const blamed = this.findBlamed(subject)
    return blamed === undefined ? undefined : this.options.trials.getWaitMs(blamed)
  }

  private createSuspect (subject: CrashSubject): SuspectRequest {
    const { evidence } = this.options
    const { request: { id, sharedParts = [] } } = subject
    return {
      getFingerprint: () => this.getFingerprint(subject),
      isSuspected: () => this.findSuspicion(subject, () => true) !== undefined,
      isImplicated: () => evidence.hasFingerprints() && evidence.isImplicated(this.getFingerprint(subject)),
      listProvableParts: () => evidence.hasFingerprints() ? [...sharedParts, this.getFingerprint(subject)] : sharedParts,
      describeSuspect: hasBegun => ({ requestId: id, parts: [...sharedParts, this.getFingerprint(subject)], hasBegun })
    }
  }

  /** Returns the fingerprint of a request, which is computed only once it is needed. */
  private getFingerprint (subject: CrashSubject): string {
    const known = this.fingerprints.get(subject.request)
    if (known !== undefined) return known
    const fingerprint = computeFingerprint(subject)
    this.fingerprints.set(subject.request, fingerprint)
    return fingerprint
  }

  private findBlamed (subject: CrashSubject): PartSuspicion | undefined {
    return this.findSuspicion(subject, ({ level }) => level === 'blamed')
  }

  private findSuspicion (subject: CrashSubject, isWanted: (suspicion: PartSuspicion) => boolean): PartSuspicion | undefined {
    const { sharedParts = [] } = subject.request
    const hasPart = (part: string): boolean => isFingerprint(part) ? part === this.getFingerprint(subject) : sharedParts.includes(part)
    return [...this.suspicions.values()].find(suspicion => isWanted(suspicion) && suspicion.parts.every(hasPart))
  }

  private updateSuspicions (): void {
    const { evidence, trials } = this.options
    const previous = this.suspicions
    const blamed = [...previous.values()].filter(({ level }) => level === 'blamed').map(({ parts }) => parts)
    const found = findPartSuspicions(evidence.listCrashes(), part => evidence.getSoundAtMs(part), blamed)
    this.suspicions = new Map(found.map(suspicion => [suspicion.parts.join(), suspicion]))
    evidence.setProtectedParts(new Set(found.filter(({ level }) => level === 'blamed').flatMap(({ parts }) => parts)))
    trials.prune(key => this.suspicions.get(key)?.level === 'blamed')
    for (const [key, suspicion] of this.suspicions) if (previous.get(key)?.level !== suspicion.level) this.logSuspicion(suspicion, previous.get(key)?.level)
    for (const [key, suspicion] of previous) if (!this.suspicions.has(key)) this.logCleared(suspicion)
  }

  private logSuspicion (suspicion: PartSuspicion, before: SuspicionLevel | undefined): void {
    const { parts, level, crashes, requests, lastAtMs, wasSound } = suspicion
    const { clock, log, metrics } = this.options
    if (level === 'blamed') metrics.countBlamedPart()
    log.recordStateChange(LOG_TEXTS[classifySuspicion(suspicion)][level], { parts, before, crashes, requests, wasSound, lastCrashMs: Math.round(clock.nowMs() - lastAtMs) })
  }

  private logCleared (suspicion: PartSuspicion): void {
    this.options.log.recordStateChange(LOG_TEXTS[classifySuspicion(suspicion)].cleared, { parts: suspicion.parts, before: suspicion.level })
  }
}

function classifySuspicion ({ parts }: PartSuspicion): SuspicionKind {
  return parts.some(isFingerprint) ? 'request' : 'part'
}
