import { type Clock } from '@fescuespoke/common'
import { type TargetSpeedNews } from '@fescuespoke/schema'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayMetrics } from '../logs/RelayMetrics.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { computeReference, computeSpeedRatio, estimateGapMs, type SpeedReference } from './computeReference.js'
import { isNotable, MAX_SPEED, MIN_SPEED, ORDINARY_SPEED, type SpeedObservation } from './judgeSpeed.js'
import { SpeedRecord } from './SpeedRecord.js'
import { StreamGaps } from './StreamGaps.js'
import { type ObservedRun, type RunSample } from './TargetRuns.js'

/** Options of target speeds. */
export interface TargetSpeedsOptions {
  readonly clock: Clock
  readonly loads: TargetLoads
  readonly log: DecisionLog
  readonly metrics: RelayMetrics
  /** Returns whether this instance knows only a part of the loads of targets; it then tells peers of single streams. By default it knows all. */
  readonly isLoadPartial?: () => boolean
}

/** Speeds of targets for a message to a peer, by name. */
export type SpeedNews = ReadonlyMap<string, TargetSpeedNews>

/** Minimum interval between two judgements of one target, and between two computations of what targets are compared with, in milliseconds. */
const JUDGE_INTERVAL_MS = 250
const REFERENCE_INTERVAL_MS = 2000

/** Maximum number of targets from which a reference is computed; the latest ones, which bounds the time for one computation. */
const MAX_COMPARED_TARGETS = 32

/** Interval at which records are pruned, in milliseconds. */
const PRUNE_INTERVAL_MS = 5000

/** Age beyond which peers are not told of a single stream, in milliseconds. */
const MAX_SAMPLE_AGE_MS = 5000

/** Maximum number of speeds in one message to a peer. */
const MAX_NEWS = 8

/** Time for which peers are told of a speed after it was last notable, so that they learn that a target is ordinary again, in milliseconds. */
const NEWS_RETENTION_MS = 20_000

/** Age beyond which an observation is not sent, in milliseconds. */
const MAX_NEWS_AGE_MS = 30_000

/** Minimum interval between two log lines about invalid values of peers, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 1000

/** Weight of a call among the runs that are needed for a judgement; answer times vary more than the gaps of streams. */
const CALL_WEIGHT = 0.25

/** Number of streams from which on their longest mean gap is told. */
const MIN_GAP_STREAMS = 2

/** Number of steps per unit to which values in messages and log lines are rounded. */
const VALUE_STEPS = 1000

interface CachedReference {
  readonly reference: SpeedReference
  readonly computedAtMs: number
}

/**
 * Speeds of targets relative to the other targets of their service, learned from the runs of this instance and of its peers. A target
 * counts as slower or faster only beyond a factor and with enough runs; any other target has the speed 1.
 */
export class TargetSpeeds {
  /**
   * Creates speeds without observations.
   * @param options - Options of the speeds.
   */
  static create (options: TargetSpeedsOptions): TargetSpeeds {
    return new TargetSpeeds(options)
  }

  private readonly records = new Map<string, SpeedRecord>()
  private readonly references = new Map<string, CachedReference>()
  private nextNewsIndex = 0
  /** Number of calls, which identify them: a request may be sent to a target again. */
  private startedCalls = 0
  private prunedAtMs = -Infinity
  private invalidLoggedAtMs = -Infinity

  /** @internal */
  private constructor (private readonly options: TargetSpeedsOptions) {}

  /**
   * Starts to observe a stream.
   * @param target - Target that produces it.
   * @param id - Id of the request.
   */
  startStream (target: RelayTarget, id: string): StreamGaps {
    const { clock, loads } = this.options
    return StreamGaps.create({ clock, getLoad: () => loads.getTotalLoad(target.name), onObserved: observed => this.recordRun(target, { ...observed, id, kind: 'stream' }) })
  }

  /**
   * Starts to observe a call whose target is reserved.
   * @param target - Target that answers it.
   * @returns Records the answer when it is complete.
   */
  startCall (target: RelayTarget): () => void {
    const id = `${this.startedCalls++}`
    const { clock, loads } = this.options
    const startedAtMs = clock.nowMs()
    const { running } = loads.getTotalLoad(target.name)
    // Beyond its slots a target queues calls, and the answer time shows the wait.
    const isQueued = target.slots > 0 && running > target.slots
    return () => {
      const typicalMs = clock.nowMs() - startedAtMs
      if (!isQueued && typicalMs > 0) this.recordRun(target, { id, kind: 'call', typicalMs, excessMs: 0, running, weight: CALL_WEIGHT })
    }
  }

  /**
   * Records what was observed of a run.
   * @param target - Target of the run.
   * @param run - The run.
   */
  recordRun (target: RelayTarget, run: ObservedRun): void {
    const nowMs = this.options.clock.nowMs()
    const known = this.records.get(target.name)
    if (known !== undefined && known.startedAtMs > target.startedAtMs) return
    const record = this.openRecord(target.name, target.startedAtMs)
    record.comparedKey = run.kind === 'stream' ? target.service : `${target.service} ${target.availabilityZone}`
    record.recordRun(run, nowMs)
  }

  /**
   * Returns the speed of a target relative to the others of its service; 1 unless it is known to differ.
   * @param target - The target.
   */
  getSpeed (target: RelayTarget): number {
    const record = this.findRecord(target)
    if (record === undefined) return ORDINARY_SPEED
    // Peers tell of streams only, which are compared within the service.
    record.comparedKey ??= target.service
    this.updateJudgement(target.name, record)
    return record.getSpeed(this.options.clock.nowMs())
  }

  /**
   * Returns the number of requests at an engine up to which the expected gap between two events stays under a limit; `Infinity` unless
   * the engine is known to be slow. At least one request may always run.
   * @param target - The engine.
   * @param maxGapMs - Longest acceptable gap, in milliseconds.
   */
  getMaxRunning (target: RelayTarget, maxGapMs: number): number {
    const speed = this.getSpeed(target)
    const reference = this.references.get(target.service)?.reference
    if (speed >= ORDINARY_SPEED || reference?.typicalMs === undefined) return Infinity
    const idleGapMs = estimateGapMs(reference, 0, speed)
    const gapPerRequestMs = estimateGapMs(reference, 1, speed) - idleGapMs
    if (gapPerRequestMs <= 0) return idleGapMs <= maxGapMs ? Infinity : 1
    return Math.max(1, Math.floor((maxGapMs - idleGapMs) / gapPerRequestMs))
  }

  /**
   * Returns the longest mean gap between two events of the latest streams at an engine, in milliseconds; undefined while there are few.
   * @param target - The engine.
   */
  findLongestGapMs (target: RelayTarget): number | undefined {
    const streams = this.findRecord(target)?.listRuns(this.options.clock.nowMs()).filter(({ kind }) => kind === 'stream') ?? []
    return streams.length < MIN_GAP_STREAMS ? undefined : Math.max(...streams.map(({ typicalMs, excessMs }) => typicalMs + excessMs))
  }

  /** Lists speeds for a message to a peer; successive messages list all of them in turn. There are none while all targets are ordinary. */
  listNews (): SpeedNews {
    const nowMs = this.options.clock.nowMs()
    this.prune()
    for (const [target, record] of this.records) this.updateJudgement(target, record)
    if (this.options.isLoadPartial?.() === true) return this.listSamples(nowMs)
    const notable = [...this.records].filter(([, { own, lastNotableAtMs }]) => own !== undefined && nowMs - own.observedAtMs < MAX_NEWS_AGE_MS && nowMs - lastNotableAtMs < NEWS_RETENTION_MS)
    const count = Math.min(MAX_NEWS, notable.length)
    const first = notable.length === 0 ? 0 : this.nextNewsIndex % notable.length
    this.nextNewsIndex = first + count
    return new Map(Array.from({ length: count }, (_, index) => notable[(first + index) % notable.length]!).map(([target, record]) => [target, formatNews(record, nowMs)]))
  }

  /**
   * Takes over the speeds that a peer observed.
   * @param peer - Name of the peer.
   * @param news - Observed speeds.
   */
  mergeNews (peer: string, news: SpeedNews): void {
    const nowMs = this.options.clock.nowMs()
    for (const [target, item] of news) {
      if (!isValid(item)) {
        this.logInvalid(peer, target, item)
        continue
      }
      const known = this.records.get(target)
      if (known !== undefined && known.startedAtMs > item.startedAtMs) continue
      const record = this.openRecord(target, item.startedAtMs)
      const sample = parseSample(peer, item, nowMs)
      if (sample !== undefined) {
        record.recordPeerSample(peer, sample)
        continue
      }
      record.recordPeer(peer, { value: item.value, runs: item.runs, observedAtMs: nowMs - item.ageMs })
      // Peers are told as well if this instance observes something else.
      if (isNotable(item.value)) record.lastNotableAtMs = nowMs
    }
  }

  /** Lists the latest streams of this instance, of which peers compute speeds together with their own. */
  private listSamples (nowMs: number): SpeedNews {
    const samples = [...this.records].flatMap(([target, record]) => {
      const sample = record.findLatestStream(nowMs)
      const isRecent = sample !== undefined && nowMs - sample.observedAtMs <= MAX_SAMPLE_AGE_MS
      return isRecent ? [[target, formatSample(record.startedAtMs, sample, nowMs)] as const] : []
    })
    return new Map(samples.sort(([, a], [, b]) => a.ageMs - b.ageMs).slice(0, MAX_NEWS))
  }

  /** Returns the record of an incarnation; a later incarnation starts without observations. */
  private openRecord (name: string, startedAtMs: number): SpeedRecord {
    const known = this.records.get(name)
    if (known?.startedAtMs === startedAtMs) return known
    const record = SpeedRecord.create(startedAtMs, this.options.clock.nowMs())
    this.records.set(name, record)
    return record
  }

  private findRecord ({ name, startedAtMs }: RelayTarget): SpeedRecord | undefined {
    const record = this.records.get(name)
    return record?.startedAtMs === startedAtMs ? record : undefined
  }

  private updateJudgement (target: string, record: SpeedRecord): void {
    const nowMs = this.options.clock.nowMs()
    if (!record.needsJudgement(nowMs, JUDGE_INTERVAL_MS)) return
    const reference = this.getReference(record.comparedKey)
    record.setOwnValue(reference === undefined ? undefined : computeSpeedRatio(record.listRuns(nowMs), reference), nowMs)
    const before = record.getJudgedSpeed()
    const observed = record.judge(nowMs)
    const after = record.getJudgedSpeed()
    if (after !== ORDINARY_SPEED || (record.own !== undefined && isNotable(record.own.value))) record.lastNotableAtMs = nowMs
    if (after !== before) this.recordChange(target, record, { before, after, observed, reference })
  }

  private recordChange (target: string, { own }: SpeedRecord, { before, after, observed, reference }: { readonly before: number, readonly after: number, readonly observed?: SpeedObservation, readonly reference?: SpeedReference }): void {
    const { clock, log, metrics } = this.options
    log.recordStateChange('target speed changed', {
      target,
      before: roundValue(before),
      speed: roundValue(after),
      observed: observed === undefined ? undefined : roundValue(observed.value),
      own: own === undefined ? undefined : roundValue(own.value),
      runs: observed?.runs,
      ageMs: observed === undefined ? undefined : Math.round(clock.nowMs() - observed.observedAtMs),
      ...describeReference(reference)
    })
    const kind = classifySpeed(after)
    if (kind !== classifySpeed(before)) metrics.countSpeedChange(kind)
  }

  /** Returns what targets with a key are compared with; records of other incarnations and of targets that left count until they are forgotten. */
  private getReference (comparedKey: string | undefined): SpeedReference | undefined {
    if (comparedKey === undefined) return undefined
    const nowMs = this.options.clock.nowMs()
    const cached = this.references.get(comparedKey)
    const intervalMs = cached?.reference.typicalMs === undefined ? JUDGE_INTERVAL_MS : REFERENCE_INTERVAL_MS
    if (cached !== undefined && nowMs - cached.computedAtMs < intervalMs) return cached.reference
    const compared = [...this.records.values()].filter(record => record.comparedKey === comparedKey)
    const reference = computeReference(compared.slice(-MAX_COMPARED_TARGETS).map(record => record.listRuns(nowMs)), cached?.reference)
    this.references.set(comparedKey, { reference, computedAtMs: nowMs })
    return reference
  }

  private prune (): void {
    const nowMs = this.options.clock.nowMs()
    if (nowMs - this.prunedAtMs < PRUNE_INTERVAL_MS) return
    this.prunedAtMs = nowMs
    for (const [target, record] of this.records) if (record.isForgotten(nowMs)) this.records.delete(target)
    const usedKeys = new Set([...this.records.values()].map(({ comparedKey }) => comparedKey))
    for (const key of this.references.keys()) if (!usedKeys.has(key)) this.references.delete(key)
  }

  private logInvalid (peer: string, target: string, { value, runs, ageMs }: TargetSpeedNews): void {
    const { clock, log } = this.options
    if (clock.nowMs() - this.invalidLoggedAtMs < INVALID_LOG_INTERVAL_MS) return
    this.invalidLoggedAtMs = clock.nowMs()
    log.recordStateChange('speed of a peer ignored', { peer, target, value, runs, ageMs })
  }
}

function formatNews ({ startedAtMs, own }: SpeedRecord, nowMs: number): TargetSpeedNews {
  return { startedAtMs, value: roundValue(Math.min(MAX_SPEED, Math.max(MIN_SPEED, own!.value))), runs: roundValue(own!.runs), ageMs: Math.max(0, Math.round(nowMs - own!.observedAtMs)) }
}

/** Formats a single stream; its speed is left to the receiver, which knows more targets with which to compare it. */
function formatSample (startedAtMs: number, { typicalMs, excessMs, running, weight, observedAtMs }: RunSample, nowMs: number): TargetSpeedNews {
  return { startedAtMs, value: ORDINARY_SPEED, runs: weight, ageMs: Math.max(0, Math.round(nowMs - observedAtMs)), typicalMs: roundValue(typicalMs), excessMs: roundValue(excessMs), running: roundValue(running) }
}

/** Returns the stream of which a peer told; undefined when it told of a speed. */
function parseSample (peer: string, { runs, ageMs, typicalMs, excessMs = 0, running = 0 }: TargetSpeedNews, nowMs: number): RunSample | undefined {
  return typicalMs === undefined ? undefined : { id: peer, kind: 'stream', typicalMs, excessMs, running, weight: runs, observedAtMs: nowMs - ageMs }
}

function isValid ({ startedAtMs, value, runs, ageMs, typicalMs = 1, excessMs = 0, running = 0 }: TargetSpeedNews): boolean {
  const areFinite = [startedAtMs, value, runs, ageMs, typicalMs, excessMs, running].every(Number.isFinite)
  return areFinite && value >= MIN_SPEED && value <= MAX_SPEED && runs >= 0 && ageMs >= 0 && typicalMs > 0 && running >= 0
}

function describeReference (reference: SpeedReference | undefined): Record<string, unknown> {
  if (reference === undefined) return {}
  const { typicalMs = 0, loadSlope, excessMsPerRequest, running } = reference
  return { referenceMs: roundValue(typicalMs), loadSlope, excessMsPerRequest: roundValue(excessMsPerRequest), referenceRunning: roundValue(running) }
}

function classifySpeed (speed: number): 'slower' | 'faster' | 'ordinary' {
  if (speed === ORDINARY_SPEED) return 'ordinary'
  return speed < ORDINARY_SPEED ? 'slower' : 'faster'
}

function roundValue (value: number): number {
  return Math.round(value * VALUE_STEPS) / VALUE_STEPS
}
