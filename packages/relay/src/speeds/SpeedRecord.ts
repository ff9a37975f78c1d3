import { selectLatestRuns } from './computeReference.js'
import { fadeSpeed, FADE_END_MS, judgeSpeed, mergeObservations, ORDINARY_SPEED, type SpeedObservation } from './judgeSpeed.js'
import { type ObservedRun, RUN_RETENTION_MS, type RunSample, TargetRuns } from './TargetRuns.js'

/** What is known about the speed of one incarnation of a target, and the judgement in force. */
export class SpeedRecord {
  /**
   * Creates a record without observations.
   * @param startedAtMs - Start of the incarnation.
   * @param nowMs - Clock reading.
   */
  static create (startedAtMs: number, nowMs: number): SpeedRecord {
    return new SpeedRecord(startedAtMs, nowMs)
  }

  /** Key of the targets with which it is compared; undefined while this instance has observed no run. */
  comparedKey: string | undefined
  /** Clock reading at which the record was last known to differ from the ordinary speed. */
  lastNotableAtMs = -Infinity
  own: SpeedObservation | undefined
  private speed = ORDINARY_SPEED
  private readonly runs = TargetRuns.create()
  private readonly peers = new Map<string, SpeedObservation>()
  /** Latest stream that each peer observed. */
  private readonly peerSamples = new Map<string, RunSample>()
  private judgedAtMs: number
  private hasJudgement = false
  private observedAtMs = -Infinity
  /** Whether there are observations since the last judgement. */
  private hasNewObservation = false

  /** @internal */
  private constructor (readonly startedAtMs: number, createdAtMs: number) {
    this.judgedAtMs = createdAtMs
  }

  /**
   * Records a run of this instance.
   * @param run - The run.
   * @param nowMs - Clock reading.
   */
  recordRun (run: ObservedRun, nowMs: number): void {
    this.runs.recordRun(run, nowMs)
    this.hasNewObservation = true
  }

  /**
   * Records a stream that a peer observed.
   * @param peer - Name of the peer.
   * @param sample - The stream.
   */
  recordPeerSample (peer: string, sample: RunSample): void {
    this.peerSamples.set(peer, sample)
    this.hasNewObservation = true
  }

  /**
   * Lists the runs of this instance and its peers that are not forgotten.
   * @param nowMs - Clock reading.
   */
  listRuns (nowMs: number): readonly RunSample[] {
    for (const [peer, { observedAtMs }] of this.peerSamples) if (nowMs - observedAtMs >= RUN_RETENTION_MS) this.peerSamples.delete(peer)
    return [...this.peerSamples.values(), ...this.runs.listRuns(nowMs)]
  }

  /**
   * Returns the latest stream of this instance; undefined when there is none.
   * @param nowMs - Clock reading.
   */
  findLatestStream (nowMs: number): RunSample | undefined {
    return this.runs.listRuns(nowMs).findLast(({ kind }) => kind === 'stream')
  }

  /**
   * Sets what this instance observed.
   * @param value - Speed relative to other targets; undefined when its runs are not comparable.
   * @param nowMs - Clock reading.
   */
  setOwnValue (value: number | undefined, nowMs: number): void {
    const runs = selectLatestRuns(this.listRuns(nowMs))
    const weight = runs.reduce((sum, run) => sum + run.weight, 0)
    this.own = value === undefined ? undefined : { value, runs: weight, observedAtMs: Math.max(...runs.map(({ observedAtMs }) => observedAtMs)) }
  }

  /**
   * Records what a peer observed.
   * @param peer - Name of the peer.
   * @param observation - The observation.
   */
  recordPeer (peer: string, observation: SpeedObservation): void {
    this.peers.set(peer, observation)
    this.hasNewObservation = true
  }

  /**
   * Returns whether the judgement may change now. The speed of an ordinary target is judged only after new observations, so that the
   * cost follows the number of runs, not that of targets.
   * @param nowMs - Clock reading.
   * @param intervalMs - Minimum time between two judgements.
   */
  needsJudgement (nowMs: number, intervalMs: number): boolean {
    return (this.hasNewObservation || this.speed !== ORDINARY_SPEED) && nowMs - this.judgedAtMs >= intervalMs
  }

  /**
   * Updates the judgement from all observations.
   * @param nowMs - Clock reading.
   * @returns The observation on which the judgement is based; undefined when there are too few runs.
   */
  judge (nowMs: number): SpeedObservation | undefined {
    const isFirst = !this.hasJudgement && (this.own === undefined || this.peerSamples.size > 0)
    const elapsedMs = isFirst ? Infinity : nowMs - this.judgedAtMs
    const observed = mergeObservations(this.listObservations(nowMs))
    this.judgedAtMs = nowMs
    this.hasNewObservation = false
    if (observed === undefined) {
      if (nowMs - this.observedAtMs >= FADE_END_MS) this.speed = ORDINARY_SPEED
      return undefined
    }
    this.hasJudgement = true
    this.observedAtMs = observed.observedAtMs
    this.speed = judgeSpeed(this.speed, observed.value, elapsedMs)
    return observed
  }

  /** Returns the judgement in force. */
  getJudgedSpeed (): number {
    return this.speed
  }

  /**
   * Returns the speed that is assumed now; the judgement fades while the target is not observed.
   * @param nowMs - Clock reading.
   */
  getSpeed (nowMs: number): number {
    return this.speed === ORDINARY_SPEED ? ORDINARY_SPEED : fadeSpeed(this.speed, nowMs - this.observedAtMs)
  }

  /**
   * Returns whether nothing is known any more.
   * @param nowMs - Clock reading.
   */
  isForgotten (nowMs: number): boolean {
    return this.listRuns(nowMs).length === 0 && this.listObservations(nowMs).length === 0 && nowMs - this.observedAtMs >= FADE_END_MS
  }

  /** Lists the observations of this instance and its peers that are not too old. */
  private listObservations (nowMs: number): SpeedObservation[] {
    for (const [peer, { observedAtMs }] of this.peers) if (nowMs - observedAtMs >= FADE_END_MS) this.peers.delete(peer)
    const all = this.own === undefined ? [...this.peers.values()] : [this.own, ...this.peers.values()]
    return all.filter(({ observedAtMs }) => nowMs - observedAtMs < FADE_END_MS)
  }
}
