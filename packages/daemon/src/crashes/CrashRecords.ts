import { type AuditTrail, type Clock, RoundRobin } from '@fescuespoke/common'
import { type News } from '@fescuespoke/schema'
import { type CrashSuspect, type TargetCrash } from './TargetCrash.js'

/** Fields of a gossip message about crashes. */
export type CrashNews = Pick<News, 'targetCrashes' | 'soundRequests'>

/** Options of crash records. */
export interface CrashRecordsOptions {
  readonly clock: Clock
  readonly audit: AuditTrail
  /** Returns the accepted revision of the configuration, for the audit trail. */
  readonly getRevision: () => number
}

interface CrashRecord {
  readonly crash: TargetCrash
  /** Clock time at which this instance learned something about it that peers may not know, in milliseconds. */
  readonly learnedAtMs: number
}

/** Time for which a crash is remembered, in milliseconds. */
const RETENTION_MS = 900_000

/** Maximum number of crashes, of suspects of one crash, and of fingerprints that proved sound. */
const MAX_CRASHES = 64
const MAX_SUSPECTS = 16
const MAX_SOUND = 64

/**
 * Maximum number of crashes in a message, and of those among them that this instance has learned lately; successive messages list all
 * others in turn.
 */
const MAX_NEWS = 16
const MAX_FRESH_NEWS = 12

/** Time for which each message tells peers of what this instance has learned, in milliseconds. */
const FRESH_MS = 5000

/** Maximum number of fingerprints that proved sound in a message. */
const MAX_SOUND_NEWS = 16

/** Crashes of targets and the requests that they were running, as all instances have observed them. */
export class CrashRecords {
  /**
   * Creates records without any crash.
   * @param options - Options of the records.
   */
  static create (options: CrashRecordsOptions): CrashRecords {
    return new CrashRecords(options)
  }

  /** Crashes by incarnation, in the order in which they were learned. */
  private readonly records = new Map<string, CrashRecord>()
  /** Clock time of the latest complete answer by fingerprint, the latest one at the end. */
  private readonly soundAtMs = new Map<string, number>()
  private readonly listeners = new Set<() => void>()
  private readonly newsRound = RoundRobin.create()

  /** @internal */
  private constructor (private readonly options: CrashRecordsOptions) {}

  /**
   * Adds a listener.
   * @param listener - Called when this instance has learned something.
   */
  addListener (listener: () => void): void {
    this.listeners.add(listener)
  }

  /**
   * Adds a crash, or further suspects of a known one.
   * @param crash - The crash.
   * @param source - Who observed it, for the audit trail.
   */
  addCrash (crash: TargetCrash, source: string): void {
    if (this.mergeCrash(crash, source)) this.notifyListeners()
  }

  /** Returns whether any crash is remembered. */
  isEmpty (): boolean {
    return this.records.size === 0
  }

  /**
   * Records a complete answer, which clears requests with its fingerprint of all crashes before.
   * @param fingerprint - Fingerprint of the request.
   */
  recordCompletion (fingerprint: string): void {
    if (this.mergeSound(fingerprint, this.options.clock.nowMs())) this.notifyListeners()
  }

  /** Lists the crashes that are remembered, without the suspects that are cleared of them. */
  listOpenCrashes (): TargetCrash[] {
    this.prune()
    return [...this.records.values()]
      .map(({ crash }) => ({ ...crash, suspects: crash.suspects.filter(({ fingerprint }) => !this.isCleared(fingerprint, crash.atMs)) }))
      .filter(({ suspects }) => suspects.length > 0)
  }

  /** Creates the fields for a gossip message. They are absent where there is nothing to tell. */
  createNews (): CrashNews {
    const nowMs = this.options.clock.nowMs()
    const open = this.listOpenCrashes().reverse()
    const fresh = open.filter(crash => nowMs - this.records.get(getKey(crash))!.learnedAtMs < FRESH_MS).slice(0, MAX_FRESH_NEWS)
    const others = this.newsRound.take(open.filter(crash => !fresh.includes(crash)), MAX_NEWS - fresh.length)
    return this.formatNews([...fresh, ...others], MAX_SOUND_NEWS)
  }

  /** Creates the fields for a message to an instance that knows nothing yet. */
  createCompleteNews (): CrashNews {
    return this.formatNews(this.listOpenCrashes(), MAX_SOUND)
  }

  /**
   * Takes over what a peer reported.
   * @param peer - Name of the peer.
   * @param news - Fields of its message.
   */
  mergeNews (peer: string, { targetCrashes = [], soundRequests = [] }: CrashNews): void {
    const nowMs = this.options.clock.nowMs()
    const added = targetCrashes.filter(({ target, incarnation, ageMs, suspects }) => this.mergeCrash({ target, incarnation, atMs: nowMs - ageMs, suspects }, peer))
    const cleared = soundRequests.filter(({ fingerprint, ageMs }) => this.mergeSound(fingerprint, nowMs - ageMs))
    if (added.length > 0 || cleared.length > 0) this.notifyListeners()
  }

  private formatNews (crashes: readonly TargetCrash[], maxSound: number): CrashNews {
    const nowMs = this.options.clock.nowMs()
    const targetCrashes = crashes.map(({ target, incarnation, atMs, suspects }) => ({
      target, incarnation, ageMs: Math.round(nowMs - atMs), suspects: suspects.map(({ fingerprint, runMs }) => ({ fingerprint, runMs: Math.round(runMs) }))
    }))
    const soundRequests = [...this.soundAtMs].slice(-maxSound).map(([fingerprint, atMs]) => ({ fingerprint, ageMs: Math.round(nowMs - atMs) }))
    return { ...(targetCrashes.length > 0 ? { targetCrashes } : {}), ...(soundRequests.length > 0 ? { soundRequests } : {}) }
  }

  /** Returns whether the crash told something new. */
  private mergeCrash (crash: TargetCrash, source: string): boolean {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - crash.atMs >= RETENTION_MS) return false
    const key = getKey(crash)
    const known = this.records.get(key)?.crash
    const suspects = mergeSuspects(known?.suspects ?? [], crash.suspects)
    if (known !== undefined && suspects.length === known.suspects.length) return false
    this.records.set(key, { crash: { ...crash, atMs: Math.min(crash.atMs, known?.atMs ?? crash.atMs), suspects }, learnedAtMs: nowMs })
    if (known === undefined) this.recordAudit(crash, source)
    if (this.records.size > MAX_CRASHES) this.records.delete(this.findLeastUseful())
    return true
  }

  /** Returns whether the fingerprint is cleared of a known crash by this. */
  private mergeSound (fingerprint: string, atMs: number): boolean {
    const before = this.soundAtMs.get(fingerprint) ?? -Infinity
    const isNews = [...this.records.values()].some(({ crash }) => crash.atMs > before && crash.atMs <= atMs && crash.suspects.some(suspect => suspect.fingerprint === fingerprint))
    if (!isNews) return false
    this.soundAtMs.delete(fingerprint)
    this.soundAtMs.set(fingerprint, atMs)
    if (this.soundAtMs.size > MAX_SOUND) this.soundAtMs.delete(this.soundAtMs.keys().next().value!)
    return true
  }

  private isCleared (fingerprint: string, crashAtMs: number): boolean {
    return (this.soundAtMs.get(fingerprint) ?? -Infinity) >= crashAtMs
  }

  /** Returns the key of the crash whose suspects are in the fewest other crashes; of several, that of the oldest one. */
  private findLeastUseful (): string {
    const open = this.listOpenCrashes()
    const counts = new Map<string, number>()
    for (const { fingerprint } of open.flatMap(({ suspects }) => suspects)) counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1)
    const usefulness = new Map(open.map(crash => [getKey(crash), Math.max(...crash.suspects.map(({ fingerprint }) => counts.get(fingerprint)!))]))
    const [least] = [...this.records].sort(([a, first], [b, second]) => (usefulness.get(a) ?? 0) - (usefulness.get(b) ?? 0) || first.crash.atMs - second.crash.atMs)
    return least![0]
  }

  private prune (): void {
    const oldestMs = this.options.clock.nowMs() - RETENTION_MS
    for (const [key, { crash }] of this.records) if (crash.atMs <= oldestMs) this.records.delete(key)
    for (const [fingerprint, atMs] of this.soundAtMs) if (atMs <= oldestMs) this.soundAtMs.delete(fingerprint)
  }

  private recordAudit ({ target, incarnation, suspects }: TargetCrash, source: string): void {
    const { audit, getRevision } = this.options
    audit.record({ kind: 'targetCrashed', subject: target, revision: getRevision(), cause: `observed by ${source}`, before: incarnation, after: suspects.map(({ fingerprint }) => fingerprint).join(' ') })
  }

  private notifyListeners (): void {
    for (const listener of this.listeners) listener()
  }
}

function mergeSuspects (known: readonly CrashSuspect[], added: readonly CrashSuspect[]): CrashSuspect[] {
  const others = added.filter(({ fingerprint }) => known.every(suspect => suspect.fingerprint !== fingerprint))
  return [...known, ...others].slice(0, MAX_SUSPECTS)
}

function getKey ({ target, incarnation }: Pick<TargetCrash, 'target' | 'incarnation'>): string {
  return `${target} ${incarnation}`
}
