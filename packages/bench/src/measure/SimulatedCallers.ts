import { pickIndex, type Clock, type Random, type Snapshot } from '@fescuespoke/common'
import { rankAddresses, type RankedMember } from '@fescuespoke/scheduling'
import { type Arrival } from './arrivals.js'
import { type SimulatedInstance } from './SimulatedInstance.js'

/** Options of the simulated callers. */
export interface SimulatedCallersOptions {
  readonly clock: Clock
  readonly random: Random
  readonly snapshot: Snapshot
  readonly instances: readonly SimulatedInstance[]
  /** Returns all instances with their states in the membership. */
  readonly listMembers: () => readonly RankedMember[]
  /** Whether callers receive ranked addresses; otherwise each picks an instance at random. */
  readonly ranksAddresses: boolean
  readonly availabilityZones: readonly string[]
}

interface CachedAnswer {
  readonly instances: readonly string[]
  readonly expiresAtMs: number
}

/** Time for which callers cache an address answer. */
const ADDRESS_CACHE_MS = 10_000

/** Simulated callers, which cache address answers and send a request to the first reachable instance of the answer. */
export class SimulatedCallers {
  /**
   * Creates the callers.
   * @param options - Options.
   */
  static create (options: SimulatedCallersOptions): SimulatedCallers {
    return new SimulatedCallers(options)
  }

  private readonly cachedAnswers = new Map<string, CachedAnswer>()

  /** @internal */
  private constructor (private readonly options: SimulatedCallersOptions) {}

  /**
   * Picks the instance that a request is sent to; returns undefined if no instance is reachable.
   * @param arrival - The request.
   */
  pickInstance (arrival: Arrival): SimulatedInstance | undefined {
    const key = `${arrival.workspaceIndex} ${arrival.callerIndex} ${arrival.service.name}`
    const cached = this.cachedAnswers.get(key)
    const nowMs = this.options.clock.nowMs()
    const answer = cached !== undefined && nowMs < cached.expiresAtMs ? cached : { instances: this.rankInstances(arrival), expiresAtMs: nowMs + ADDRESS_CACHE_MS }
    this.cachedAnswers.set(key, answer)
    const reachable = this.findReachable(answer.instances)
    if (reachable === undefined) this.cachedAnswers.delete(key)
    return reachable ?? this.findReachable(this.options.instances.map(({ name }) => name))
  }

  private rankInstances (arrival: Arrival): string[] {
    const { random, instances, snapshot, availabilityZones } = this.options
    if (!this.options.ranksAddresses) return [instances[pickIndex(random, instances.length)]?.name ?? '']
    const addresses = rankAddresses({
      service: arrival.service.name,
      workspace: `w${arrival.workspaceIndex}`,
      members: this.options.listMembers(),
      snapshot,
      availabilityZone: availabilityZones[arrival.callerIndex % availabilityZones.length],
      region: 'r',
      rotationOffset: arrival.callerIndex
    })
    return addresses.map(({ instance }) => instance)
  }

  private findReachable (names: readonly string[]): SimulatedInstance | undefined {
    for (const name of names) {
      const instance = this.options.instances.find(candidate => candidate.name === name)
      if (instance?.isReachable() === true) return instance
    }
    return undefined
  }
}
