import { addJitter, type Clock, pickIndex, type Random } from '@fescuespoke/common'
import { type FleetMember, pickWatchers } from './FleetMember.js'

/** Intervals of a follower, in milliseconds. */
export interface FollowerTiming {
  /** Longest wait of the platform for a change. */
  readonly longPollMs: number
  /** Interval at which a peer is asked. */
  readonly peerPollIntervalMs: number
  /** Interval at which a peer is asked while the view is old. */
  readonly stalePeerPollIntervalMs: number
  /** Age of the view at which an instance reads the platform although others do so for it. */
  readonly staleAfterMs: number
  /** Interval at which that age is looked at. */
  readonly staleCheckIntervalMs: number
  /** First wait after a failed read; doubled after each further one. */
  readonly initialBackoffMs: number
  readonly maxBackoffMs: number
}

/** Options of a follower. */
export interface ViewFollowerOptions {
  readonly clock: Clock
  readonly random: Random
  /** What is followed; enters the choice of the instances that read the platform. */
  readonly subject: string
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances thought alive. */
  readonly listPeers: () => readonly FleetMember[]
  /** Gets the time since the view was last confirmed. */
  readonly getAgeMs: () => number
  /** Reads the platform; false when the answer was of no use. */
  readonly readSource: (waitMs: number, signal: AbortSignal) => Promise<boolean>
  /** Asks a peer; false when it did not answer or knows less. */
  readonly pollPeer: (instance: string) => Promise<boolean>
  readonly timing: FollowerTiming
}

/** When a refresh ends before everybody asked has been heard. */
export interface RefreshOptions {
  /** Age of the view in milliseconds that suffices; 0 to hear all. */
  readonly maxAgeMs?: number
  /** Longest wait in milliseconds. */
  readonly timeoutMs?: number
}

const DEFAULT_REFRESH_TIMEOUT_MS = 1000

/** Shortest interval between two reads of the platform, in milliseconds. */
const MIN_READ_INTERVAL_MS = 50

/** Longest wait for the answers of peers before others are asked, in milliseconds. */
const PEER_ANSWER_WAIT_MS = 500

/** Number of peers that are asked at once by an instance whose view is old; some may be out of reach. */
const STALE_POLL_PEERS = 3

/**
 * Keeps a view up to date from the platform and from peers. Only a few instances of each availability zone read the
 * platform; the others ask those, and read it themselves when their view grows old.
 */
export class ViewFollower {
  /**
   * Creates a follower that has not been started.
   * @param options - Options of the follower.
   */
  static create (options: ViewFollowerOptions): ViewFollower {
    return new ViewFollower(options)
  }

  private readonly abort = new AbortController()
  private tasks: Array<Promise<void>> = []
  private untriedPeers: string[] = []

  /** @internal */
  private constructor (private readonly options: ViewFollowerOptions) {}

  /** Starts the tasks that read the platform and ask peers. */
  start (): void {
    this.tasks = [this.runReader(), this.runPeerPolling()]
  }

  /** Stops the tasks and waits for their end. */
  async stop (): Promise<void> {
    this.abort.abort()
    await Promise.all(this.tasks)
  }

  /** Tells whether this instance reads the platform for its availability zone. */
  isWatcher (): boolean {
    return this.listWatchers().includes(this.options.self.instance)
  }

  /**
   * Asks the platform and a few peers at once, and waits until the view is young enough or all have been heard.
   * @param options - When the wait ends early.
   */
  async refresh (options: RefreshOptions = {}): Promise<void> {
    const { maxAgeMs = 0, timeoutMs = DEFAULT_REFRESH_TIMEOUT_MS } = options
    const { clock, readSource, pollPeer, getAgeMs } = this.options
    const requests = [readSource(0, this.abort.signal), ...this.pickPeers(STALE_POLL_PEERS).map(pollPeer)]
    await new Promise<void>(resolve => {
      const cancelTimer = clock.startTimer(timeoutMs, resolve)
      const finish = (): void => {
        cancelTimer()
        resolve()
      }
      for (const request of requests) request.then(() => { if (getAgeMs() <= maxAgeMs) finish() })
      Promise.all(requests).then(finish)
    })
  }

  private async runReader (): Promise<void> {
    const { clock, random, timing, readSource } = this.options
    let failures = 0
    while (!this.abort.signal.aborted) {
      if (!this.isReadDue()) {
        failures = 0
        await clock.sleep(addJitter(random, timing.staleCheckIntervalMs), this.abort.signal)
        continue
      }
      const startedAtMs = clock.nowMs()
      const isUsable = await readSource(this.isWatcher() ? timing.longPollMs : 0, this.abort.signal)
      failures = isUsable ? 0 : failures + 1
      const pauseMs = isUsable ? startedAtMs + MIN_READ_INTERVAL_MS - clock.nowMs() : addJitter(random, this.computeBackoff(failures))
      if (pauseMs > 0) await clock.sleep(pauseMs, this.abort.signal)
    }
  }

  private async runPeerPolling (): Promise<void> {
    const { clock, random, timing, pollPeer, getAgeMs } = this.options
    let hasAnswer = true
    while (!this.abort.signal.aborted) {
      const isStale = getAgeMs() > timing.staleAfterMs
      const peers: string[] = isStale || !hasAnswer ? this.pickPeers(STALE_POLL_PEERS) : this.pickPollPeers()
      hasAnswer = await this.waitForAnswer(peers.map(pollPeer))
      const intervalMs = isStale || !hasAnswer ? timing.stalePeerPollIntervalMs : timing.peerPollIntervalMs
      await clock.sleep(addJitter(random, intervalMs), this.abort.signal)
    }
  }

  /** Waits for answers, but not for longer than a peer within reach takes; the rest go on by themselves. */
  private async waitForAnswer (requests: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
    const finished = new AbortController()
    const answers = Promise.all(requests).then(list => list.includes(true))
    const timeout = this.options.clock.sleep(PEER_ANSWER_WAIT_MS, finished.signal).then(() => false)
    const hasAnswer = await Promise.race([answers, timeout])
    finished.abort()
    return hasAnswer
  }

  private isReadDue (): boolean {
    return this.isWatcher() || this.options.getAgeMs() > this.options.timing.staleAfterMs
  }

  private computeBackoff (failures: number): number {
    const { initialBackoffMs, maxBackoffMs } = this.options.timing
    return Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1))
  }

  private listWatchers (): string[] {
    const { self, listPeers, subject } = this.options
    return pickWatchers(subject, [self, ...listPeers()], self.availabilityZone)
  }

  /** Picks one of the instances that read the platform for this zone, or any peer for an instance that reads it itself. */
  private pickPollPeers (): string[] {
    const watchers = this.listWatchers()
    if (watchers.includes(this.options.self.instance)) return this.pickPeers(1)
    return this.pickRandom(watchers, 1)
  }

  /** Picks peers in turn, each once in random order before any is picked again, so that all are tried in a small fleet. */
  private pickPeers (count: number): string[] {
    const names = new Set(this.options.listPeers().map(peer => peer.instance))
    const picked = new Set<string>()
    while (picked.size < Math.min(count, names.size)) {
      if (this.untriedPeers.length === 0) this.untriedPeers = this.pickRandom([...names], names.size)
      const name = this.untriedPeers.pop() as string
      if (names.has(name)) picked.add(name)
    }
    return [...picked]
  }

  private pickRandom (names: readonly string[], count: number): string[] {
    const remaining = [...names]
    const picked: string[] = []
    while (picked.length < count && remaining.length > 0) {
      picked.push(...remaining.splice(pickIndex(this.options.random, remaining.length), 1))
    }
    return picked
  }
}
