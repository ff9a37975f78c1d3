import { type Clock, RoundRobin } from '@fescuespoke/common'
import { type EngineCrashNews, type SoundPartNews } from '@fescuespoke/schema'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { isFingerprint } from './computeFingerprint.js'
import { type CrashSuspect, type EngineCrash } from './EngineCrash.js'

/** Options of evidence. */
export interface CrashEvidenceOptions {
  readonly clock: Clock
  readonly log: DecisionLog
}

interface CrashRecord {
  readonly key: string
  readonly crash: EngineCrash
  /** Clock reading at which this instance learned something about it that peers may not know. */
  learnedAtMs: number
}

/** Number of crashes, of suspects of one crash, and of sound parts and sound requests that are remembered. */
const MAX_CRASHES = 64
const MAX_SUSPECTS = 16
const MAX_SOUND_PARTS = 256
const MAX_SOUND_FINGERPRINTS = 256

/** Time for which a crash is remembered, in milliseconds. */
const RETENTION_MS = 900_000

/** Source of what this instance has observed itself. */
const OWN_SOURCE = 'own'

/** Maximum length of the id of a request, in characters. */
const MAX_ID_LENGTH = 32

/** Time for which each message tells peers of what this instance has learned, in milliseconds, and maximum number of such crashes in it. */
const FRESH_MS = 5000
const MAX_FRESH_NEWS = 12

/** Time by which a crash that a peer reports must be later than one that it displaces, in milliseconds; many targets may crash at one moment. */
const DISPLACEMENT_MS = 1000

/** Number of further crashes in a message; successive messages list all of them in turn. */
const MAX_OTHER_NEWS = 4

/** Crashes of targets, and parts of prompts and fingerprints that proved sound, as all instances have observed them. Fingerprints are remembered as sound only where a crash implicates them. */
export class CrashEvidence {
  /**
   * Creates evidence without any crash.
   * @param options - Options of the evidence.
   */
  static create (options: CrashEvidenceOptions): CrashEvidence {
    return new CrashEvidence(options)
  }

  /** Crashes by incarnation, in the order in which they were learned. */
  private readonly records = new Map<string, CrashRecord>()
  /** Clock reading up to which each part is cleared, the part that proved sound last at the end. */
  private readonly soundAtMs = new Map<string, number>()
  /** The same of fingerprints, which are many. */
  private readonly soundFingerprintsAtMs = new Map<string, number>()
  /** Number of crashes that implicate each fingerprint. */
  private fingerprints: ReadonlyMap<string, number> = new Map()
  private readonly listeners = new Set<() => void>()
  private protectedParts: ReadonlySet<string> = new Set()
  private readonly newsRound = RoundRobin.create()

  /** @internal */
  private constructor (private readonly options: CrashEvidenceOptions) {}

  /**
   * Adds a listener.
   * @param listener - Called after each change of the evidence.
   */
  addListener (listener: () => void): void {
    this.listeners.add(listener)
  }

  /**
   * Adds a crash, or further suspects of a known one.
   * @param crash - The crash.
   * @param source - Who observed it: this instance itself (`own`) or a peer.
   */
  addCrash (crash: EngineCrash, source: string): void {
    if (this.mergeCrash(crash, source)) this.notifyListeners()
  }

  /**
   * Records that a run proved sound, which clears its parts of earlier crashes.
   * @param parts - Ids of the shared parts of its prompt, and the fingerprint of the request.
   * @param atMs - Clock reading up to which they are cleared.
   */
  recordSoundRun (parts: readonly string[], atMs: number): void {
    const cleared = parts.filter(part => this.mergeSoundPart(part, atMs))
    if (cleared.length > 0) this.notifyListeners()
  }

  /**
   * Sets the parts whose crashes are remembered while there are others to forget.
   * @param parts - Ids of the parts.
   */
  setProtectedParts (parts: ReadonlySet<string>): void {
    this.protectedParts = parts
  }

  /**
   * Returns the clock reading up to which a part is cleared; undefined when no run with it has proved sound.
   * @param part - Id of the part.
   */
  getSoundAtMs (part: string): number | undefined {
    return this.selectSound(part).get(part)
  }

  /** Returns whether crashes implicate any fingerprints. */
  hasFingerprints (): boolean {
    this.prune()
    return this.fingerprints.size > 0
  }

  /**
   * Returns whether a crash implicates a part that has not proved sound since.
   * @param part - Id of the part.
   */
  isImplicated (part: string): boolean {
    const soundAtMs = this.getSoundAtMs(part) ?? -Infinity
    return this.listCrashes().some(({ atMs, suspects }) => atMs > soundAtMs && suspects.some(({ parts }) => parts.includes(part)))
  }

  /** Lists the crashes that are remembered. */
  listCrashes (): EngineCrash[] {
    this.prune()
    return [...this.records.values()].map(({ crash }) => crash)
  }

  /** Lists crashes for a message to a peer: the fresh ones, and some of the others. Crashes of which all parts are cleared are left out, unless that is fresh. */
  listCrashNews (): EngineCrashNews[] {
    this.prune()
    const nowMs = this.options.clock.nowMs()
    const records = [...this.records.values()].reverse()
    const open = records.filter(({ crash }) => this.isOpen(crash))
    const cleared = records.filter(({ crash }) => !this.isOpen(crash))
    const fresh = [...open, ...cleared].filter(({ learnedAtMs }) => nowMs - learnedAtMs < FRESH_MS).slice(0, MAX_FRESH_NEWS)
    return [...fresh, ...this.newsRound.take(open.filter(record => !fresh.includes(record)), MAX_OTHER_NEWS)].map(({ crash: { target, startedAtMs, atMs, suspects } }) => ({
      target, startedAtMs, ageMs: Math.round(nowMs - atMs), suspects: suspects.map(({ requestId, parts, hasBegun }) => ({ requestId, parts: [...parts], hasBegun }))
    }))
  }

  /**
   * Lists the parts of the suspects in a message that proved sound.
   * @param crashes - The crashes in the message.
   */
  listSoundNews (crashes: readonly EngineCrashNews[]): SoundPartNews[] {
    const nowMs = this.options.clock.nowMs()
    const parts = new Set(crashes.flatMap(({ suspects }) => suspects.flatMap(suspect => suspect.parts)))
    return [...parts].flatMap(part => {
      const atMs = this.getSoundAtMs(part)
      return atMs === undefined ? [] : [{ part, ageMs: Math.round(nowMs - atMs) }]
    })
  }

  /**
   * Takes over what a peer reported.
   * @param peer - Name of the peer.
   * @param crashes - Reported crashes.
   * @param soundParts - Parts that proved sound.
   */
  mergeNews (peer: string, crashes: readonly EngineCrashNews[], soundParts: readonly SoundPartNews[]): void {
    const nowMs = this.options.clock.nowMs()
    const added = crashes.filter(({ target, startedAtMs, ageMs, suspects }) => this.mergeCrash({ target, startedAtMs, atMs: nowMs - ageMs, suspects }, peer))
    const cleared = soundParts.filter(({ part, ageMs }) => this.mergeSoundPart(part, nowMs - ageMs))
    if (cleared.length > 0 || added.length > 0) this.notifyListeners()
  }

  /** Returns whether the crash told something new. */
  private mergeCrash (crash: EngineCrash, source: string): boolean {
    const { clock, log } = this.options
    const nowMs = clock.nowMs()
    const { target, startedAtMs, atMs } = crash
    if (nowMs - atMs >= RETENTION_MS) return false
    const key = `${target} ${startedAtMs}`
    const known = this.records.get(key)?.crash
    const suspects = this.mergeSuspects(known?.suspects ?? [], crash.suspects)
    const record: CrashRecord = { key, crash: { target, startedAtMs, atMs: Math.min(atMs, known?.atMs ?? atMs), suspects }, learnedAtMs: nowMs }
    const isNew = known === undefined ? this.makeRoom(record, source === OWN_SOURCE ? 0 : DISPLACEMENT_MS) : !suspects.every(suspect => hasSuspect(known, suspect))
    if (!isNew) return false
    this.records.set(key, record)
    this.countFingerprints()
    if (known === undefined) log.recordStateChange('target crash observed', { target, startedAtMs, source, ageMs: Math.round(nowMs - atMs), suspects })
    return true
  }

  /** Returns whether the part is cleared of a known crash by this. */
  private mergeSoundPart (part: string, atMs: number): boolean {
    const sound = this.selectSound(part)
    const before = sound.get(part) ?? -Infinity
    if (atMs <= before || (isFingerprint(part) && !this.fingerprints.has(part))) return false
    sound.delete(part)
    sound.set(part, atMs)
    if (sound.size > (isFingerprint(part) ? MAX_SOUND_FINGERPRINTS : MAX_SOUND_PARTS)) sound.delete(sound.keys().next().value!)
    const cleared = [...this.records.values()].filter(({ crash }) => crash.atMs <= atMs && crash.atMs > before && crash.suspects.some(({ parts }) => parts.includes(part)))
    for (const record of cleared) record.learnedAtMs = this.options.clock.nowMs()
    return cleared.length > 0
  }

  /** Returns whether a part is not cleared of a crash. */
  private isOpen ({ atMs, suspects }: EngineCrash): boolean {
    return suspects.some(({ parts }) => parts.some(part => (this.getSoundAtMs(part) ?? -Infinity) < atMs))
  }

  private selectSound (part: string): Map<string, number> {
    return isFingerprint(part) ? this.soundFingerprintsAtMs : this.soundAtMs
  }

  private countFingerprints (): void {
    const counts = new Map<string, number>()
    for (const { crash: { suspects } } of this.records.values()) {
      for (const part of new Set(suspects.flatMap(({ parts }) => parts))) if (isFingerprint(part)) counts.set(part, (counts.get(part) ?? 0) + 1)
    }
    this.fingerprints = counts
    for (const part of this.soundFingerprintsAtMs.keys()) if (!counts.has(part)) this.soundFingerprintsAtMs.delete(part)
  }

  /** Merges suspects; where there are too many, those that other crashes implicate are kept, and those whose answer had begun. */
  private mergeSuspects (known: readonly CrashSuspect[], added: readonly CrashSuspect[]): CrashSuspect[] {
    const byRequest = new Map(known.map(suspect => [suspect.requestId, suspect]))
    for (const { requestId, parts, hasBegun } of added) {
      const id = requestId.slice(0, MAX_ID_LENGTH)
      if (!byRequest.has(id)) byRequest.set(id, { requestId: id, parts, hasBegun })
    }
    const countCrashes = ({ parts }: CrashSuspect): number => Math.max(0, ...parts.map(part => this.fingerprints.get(part) ?? 0))
    return [...byRequest.values()].sort((a, b) => countCrashes(b) - countCrashes(a) || Number(b.hasBegun) - Number(a.hasBegun)).slice(0, MAX_SUSPECTS)
  }

  /**
   * Drops a crash if there are too many: the one that is least useful, or the oldest of these.
   * @returns Whether there is room; an added crash that is no more useful displaces none that is not older by a given time.
   */
  private makeRoom (added: CrashRecord, displacementMs: number): boolean {
    if (this.records.size < MAX_CRASHES) return true
    const usefulness = new Map([...this.records.values(), added].map(record => [record, this.rankUsefulness(record.crash)]))
    const [least] = [...this.records.values()].sort((a, b) => usefulness.get(a)! - usefulness.get(b)! || a.crash.atMs - b.crash.atMs)
    const gain = usefulness.get(added)! - usefulness.get(least!)!
    if (gain < 0 || (gain === 0 && added.crash.atMs < least!.crash.atMs + displacementMs)) return false
    this.records.delete(least!.key)
    return true
  }

  /** Ranks a crash by what it tells: of blamed parts, of requests that were at other crashes as well, of parts that are not cleared, or nothing. */
  private rankUsefulness (crash: EngineCrash): number {
    const parts = crash.suspects.flatMap(suspect => suspect.parts)
    if (parts.some(part => this.protectedParts.has(part))) return 3
    if (!this.isOpen(crash)) return 0
    return parts.some(part => (this.fingerprints.get(part) ?? 0) > 1) ? 2 : 1
  }

  private prune (): void {
    const nowMs = this.options.clock.nowMs()
    const expired = [...this.records].filter(([, { crash }]) => nowMs - crash.atMs >= RETENTION_MS)
    for (const [key] of expired) this.records.delete(key)
    if (expired.length > 0) this.countFingerprints()
  }

  private notifyListeners (): void {
    for (const listener of this.listeners) listener()
  }
}

function hasSuspect ({ suspects }: EngineCrash, { requestId }: CrashSuspect): boolean {
  return suspects.some(other => other.requestId === requestId)
}
