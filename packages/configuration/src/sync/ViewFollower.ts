import { addJitter, type Clock, pickIndex, type Random } from '@fescuespoke/common'
import { type FleetMember, pickWatchers } from './FleetMember.js'

/** Intervals of a follower, in milliseconds. */
export interface FollowerTiming {
  /** Maximum time that the platform waits for a change. */
  readonly longPollMs: number
  /** Interval at which a peer is polled. */
  readonly peerPollIntervalMs: number
  /** Interval at which peers are polled while the view is stale or no peer answers. */
  readonly stalePeerPollIntervalMs: number
  /** Age above which the view is stale. An instance that is not a watcher then reads the platform itself. */
  readonly staleAfterMs: number
  /** Interval at which an instance that does not read the platform checks whether it has to. */
  readonly staleCheckIntervalMs: number
  /** Delay after the first failed read; doubled after each further failure. */
  readonly initialBackoffMs: number
  readonly maxBackoffMs: number
}

/** Options of a follower. */
export interface ViewFollowerOptions {
  readonly clock: Clock
  readonly random: Random
  /** Name of the followed data; part of the hash input that selects the watchers. */
  readonly subject: string
  /** This instance. */
  readonly self: FleetMember
  /** Lists the other instances that are considered alive. */
  readonly listPeers: () => readonly FleetMember[]
  /** Returns the time in milliseconds since the view was last confirmed. */
  readonly getAgeMs: () => number
  /** Reads the platform, and returns whether the answer was usable. */
  readonly readSource: (waitMs: number, signal: AbortSignal) => Promise<boolean>
  /** Polls a peer. Returns false when the peer did not answer or has only an older state. */
  readonly pollPeer: (instance: string) => Promise<boolean>
  readonly timing: FollowerTiming
}

/** Limits of the wait of a refresh. */
export interface RefreshOptions {
  /** Age of the view in milliseconds at which the wait ends early; 0 to wait for all answers. */
  readonly maxAgeMs?: number
  /** Maximum time to wait, in milliseconds. */
  readonly timeoutMs?: number
}

const DEFAULT_REFRESH_TIMEOUT_MS = 1000

/** Minimum interval between two successful reads of the platform, in milliseconds. */
const MIN_READ_INTERVAL_MS = 50

/** Maximum time to wait for the answers of peers before other peers are polled, in milliseconds. */
const PEER_ANSWER_WAIT_MS = 500

/** Number of peers that are polled at once by a refresh or while the view is stale. It is more than one because some peers may be unreachable. */
const STALE_POLL_PEERS = 3

/**
 * Keeps a view up to date from the platform and from peers. Only the watchers, a few instances in each availability zone,
 * read the platform. The other instances poll the watchers, and read the platform themselves when their view is stale.
 */
export class ViewFollower {
  /**
   * Creates a follower that has not been started.
   * @param options - Options of the follower.
   */
  static create (options: ViewFollowerOptions): ViewFollower {
    return new ViewFollower(options)
  }

  private readonly stopController = new AbortController()
  private tasks: Array<Promise<void>> = []
  private untriedPeers: string[] = []

  /** @internal */
  private constructor (private readonly options: ViewFollowerOptions) {}

  /** Starts the tasks that read the platform and poll peers. */
  start (): void {
    this.tasks = [this.runReader(), this.runPeerPolling()]
  }

  /** Stops the tasks and waits until they have ended. */
  async stop (): Promise<void> {
    this.stopController.abort()
    await Promise.all(this.tasks)
  }

  /** Returns whether this instance is a watcher, which reads the platform for its availability zone. */
  isWatcher (): boolean {
    return this.listWatchers().includes(this.options.self.instance)
  }

  /**
   * Reads the platform and polls a few peers at the same time. Waits until the view is recent enough, all requests have
   * ended or the timeout has elapsed.
   * @param options - Limits of the wait.
   */
  async refresh (options: RefreshOptions = {}): Promise<void> {
    const { maxAgeMs = 0, timeoutMs = DEFAULT_REFRESH_TIMEOUT_MS } = options
    const { clock, readSource, pollPeer, getAgeMs } = this.options
    const requests = [readSource(0, this.stopController.signal), ...this.pickPeers(STALE_POLL_PEERS).map(pollPeer)]
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
    while (!this.stopController.signal.aborted) {
      if (!this.isReadDue()) {
        failures = 0
        await clock.sleep(addJitter(random, timing.staleCheckIntervalMs), this.stopController.signal)
        continue
      }
      const startedAtMs = clock.nowMs()
      const isUsable = await readSource(this.isWatcher() ? timing.longPollMs : 0, this.stopController.signal)
      failures = isUsable ? 0 : failures + 1
      const delayMs = isUsable ? startedAtMs + MIN_READ_INTERVAL_MS - clock.nowMs() : addJitter(random, this.computeBackoff(failures))
      if (delayMs > 0) await clock.sleep(delayMs, this.stopController.signal)
    }
  }

  private async runPeerPolling (): Promise<void> {
    const { clock, random, timing, pollPeer, getAgeMs } = this.options
    let hasAnswer = true
    while (!this.stopController.signal.aborted) {
      const isStale = getAgeMs() > timing.staleAfterMs
      const peers: string[] = isStale || !hasAnswer ? this.pickPeers(STALE_POLL_PEERS) : this.pickPollPeers()
      hasAnswer = await this.waitForAnswer(peers.map(pollPeer))
      const intervalMs = isStale || !hasAnswer ? timing.stalePeerPollIntervalMs : timing.peerPollIntervalMs
      await clock.sleep(addJitter(random, intervalMs), this.stopController.signal)
    }
  }

  /** Waits for the answers, but no longer than a reachable peer takes. Requests that take longer continue in the background. */
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

  /** Picks a watcher of this availability zone, or any peer when this instance is a watcher itself. */
  private pickPollPeers (): string[] {
    const watchers = this.listWatchers()
    if (watchers.includes(this.options.self.instance)) return this.pickPeers(1)
    return this.pickRandom(watchers, 1)
  }

  /** Picks peers in random order. Each peer is picked once before any is picked again, so that all peers of a small fleet are tried. */
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
