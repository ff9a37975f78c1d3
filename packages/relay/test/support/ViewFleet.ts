import { type AnyPeerMessage, createLogger, type PeerHandler, type PeerTransport, type Random, SeededRandom, VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { LoadExchange } from '../../src/loads/LoadExchange.js'
import { TargetLoads } from '../../src/loads/TargetLoads.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { createWatchSchedule } from '../../src/published/createWatchSchedule.js'
import { PeerStoreStatus } from '../../src/published/PeerStoreStatus.js'
import { PublishedExchange } from '../../src/published/PublishedExchange.js'
import { type PublishedSource } from '../../src/published/PublishedItem.js'
import { PublishedView, type PublishedViewOptions } from '../../src/published/PublishedView.js'
import { PublishedWatcher } from '../../src/published/PublishedWatcher.js'
import { type NarrowNetwork } from './NarrowNetwork.js'

/** The published keys and the loads of one instance. */
export interface ViewInstance {
  readonly view: PublishedView
  readonly loads: TargetLoads
  readonly exchange: PublishedExchange
  readonly loadExchange: LoadExchange
  /** Present when the instance reads a store. */
  readonly watcher?: PublishedWatcher
}

/** Options of a fleet. */
export interface ViewFleetOptions {
  readonly names: readonly string[]
  readonly view?: PublishedViewOptions
  /** Creates the source through which an instance reads the store; without it, instances only hear of their peers. */
  readonly createSource?: (name: string) => PublishedSource
  readonly random?: Random
  /** Returns the rank of an instance among the watchers of the store; `Infinity` when it does not watch. By default, all watch. */
  readonly getWatchRank?: (name: string) => number
  /** Maximum delay of a message between instances, in milliseconds, and share of the messages that are lost. */
  readonly maxDelayMs?: number
  readonly lossShare?: number
  /** Links that carry the messages between instances; by default, their bandwidth has no limit. */
  readonly network?: NarrowNetwork
}

/** Instances that exchange their published keys and loads in virtual time. */
export class ViewFleet {
  /** Creates instances that reach one another by name, and that are not running. */
  static create (options: ViewFleetOptions, clock = VirtualClock.create()): ViewFleet {
    return new ViewFleet(options, clock)
  }

  readonly instances = new Map<string, ViewInstance>()
  /** Messages that instances sent, requests as well as answers. */
  readonly messages: AnyPeerMessage[] = []
  /** Instances whose messages are lost. */
  readonly isolated = new Set<string>()
  /** Connections, as `from>to`, on which nothing arrives any more, while those of the other direction work. */
  readonly silentConnections = new Set<string>()
  private readonly handlers = new Map<string, Map<string, PeerHandler<never>>>()
  private readonly log: DecisionLog
  private readonly random: Random

  private constructor (private readonly options: ViewFleetOptions, readonly clock: VirtualClock) {
    this.log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
    this.random = options.random ?? SeededRandom.create(1)
    for (const name of options.names) this.createInstance(name)
  }

  /** Starts an instance. */
  run (name: string): void {
    const { watcher, loadExchange } = this.getInstance(name)
    watcher?.run()
    loadExchange.run()
  }

  /** Stops an instance. */
  stop (name: string): void {
    const { watcher, loadExchange } = this.getInstance(name)
    watcher?.stop()
    loadExchange.stop()
  }

  /** Stops an instance and starts a new one under its name, which has nothing of what the previous one had. */
  restart (name: string): void {
    this.stop(name)
    this.createInstance(name)
    this.run(name)
  }

  /** Returns an instance. */
  getInstance (name: string): ViewInstance {
    return this.instances.get(name)!
  }

  private createInstance (name: string): void {
    const { clock, log, random, options: { names, createSource, getWatchRank = () => 0, view: viewOptions } } = this
    const view = PublishedView.create(viewOptions)
    const loads = TargetLoads.create(clock)
    const transport = this.createTransport(name)
    const listPeers = (): string[] => names.filter(other => other !== name)
    const exchange = PublishedExchange.create({ clock, transport, view, log, listPeers, isStoreLost: () => watcher?.isStoreAvailable() === false })
    const peerStoreStatus = PeerStoreStatus.create(clock)
    const source = createSource?.(name)
    const schedule = createWatchSchedule({ peerStoreStatus, isWatcher: () => Number.isFinite(getWatchRank(name)), isBehindPeers: () => exchange.isBehindPeers(), getWatchRank: () => getWatchRank(name) })
    const watcher = source === undefined ? undefined : PublishedWatcher.create({ view, source, clock, random, log, fetchFromPeers: async () => await exchange.fetchFromPeers(), ...schedule })
    const loadExchange = LoadExchange.create({
      clock,
      transport,
      loads,
      listPeers,
      getSummary: () => view.getSummary(),
      handlePeerSummary: (peer, summary) => { exchange.handlePeerSummary(peer, summary) },
      getStoreStatus: () => watcher?.isStoreAvailable() === true ? { answerAgeMs: watcher.getKnowledgeAgeMs(), timeSinceOutageMs: watcher.getTimeSinceOutageMs() } : undefined,
      handlePeerStoreStatus: ({ answerAgeMs, timeSinceOutageMs }) => peerStoreStatus.recordAnswer(answerAgeMs, timeSinceOutageMs),
      onPeerLoad: () => undefined
    })
    this.instances.set(name, { view, loads, exchange, loadExchange, watcher })
  }

  private createTransport (name: string): PeerTransport {
    const ownHandlers = new Map<string, PeerHandler<never>>()
    this.handlers.set(name, ownHandlers)
    return {
      request: async (peer, message, timeoutMs) => {
        if (this.silentConnections.has(`${name}>${peer}`)) {
          await this.clock.sleep(timeoutMs)
          return Result.err('timeout')
        }
        if (await this.isLost(name, peer)) return Result.err('unreachable')
        const handler = this.handlers.get(peer)?.get(message.type)
        if (handler === undefined) return Result.err('unreachable')
        const answer = await handler(message as never, name)
        this.messages.push(message, answer as AnyPeerMessage)
        await this.carryAnswer(answer as AnyPeerMessage, { from: peer, to: name })
        return await this.isLost(name, peer) ? Result.err('unreachable') : Result.ok(answer) as never
      },
      setHandler: (type, handler) => { ownHandlers.set(type, handler as never) }
    }
  }

  /** Carries an answer over the links of both ends; as between real instances, a timeout does not count while bytes arrive. */
  private async carryAnswer (answer: AnyPeerMessage, { from, to }: { from: string, to: string }): Promise<void> {
    await this.options.network?.carry(JSON.stringify(answer).length, [`from ${from}`, `to ${to}`])
  }

  private async isLost (from: string, to: string): Promise<boolean> {
    const { maxDelayMs = 0, lossShare = 0 } = this.options
    if (maxDelayMs > 0) await this.clock.sleep(this.random.nextFloat() * maxDelayMs)
    return this.isolated.has(from) || this.isolated.has(to) || this.random.nextFloat() < lossShare
  }
}
