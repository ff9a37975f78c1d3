import { type Clock, type Random } from '@fescuespoke/common'
import { type TargetLimits } from '../limits/TargetLimits.js'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type Closure, type TargetAvailability } from '../targets/TargetAvailability.js'
import { type TargetHealth } from '../targets/TargetHealth.js'
import { type TrackedTarget, type TargetTable } from '../targets/TargetTable.js'
import { formatOriginKey, type StreamOrigin } from '../versions/StreamOrigin.js'
import { pickCallTarget, pickEngine, type TargetCandidate } from './pickTarget.js'
import { TargetReservation } from './TargetReservation.js'

/** Options of a relay placer. */
export interface RelayPlacerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly table: TargetTable
  readonly loads: TargetLoads
  readonly health: TargetHealth
  readonly limits: TargetLimits
  readonly availability: TargetAvailability
  readonly availabilityZone: string
  /**
   * Returns the names of the engines whose total load this instance knows well.
   * @param targets - All usable engines of a service.
   */
  readonly pickPreferred?: (targets: readonly RelayTarget[]) => ReadonlySet<string>
  /**
   * Lists the origins of a service that lose targets while another one gains some, as keys; see `formatOriginKey`.
   * @param service - Name of the service.
   */
  readonly listDeclining?: (service: string) => ReadonlySet<string>
}

/** Requirements on a target. */
export interface TargetRequirements {
  readonly service: ServiceProfile
  /** Origin of the stream that the target has to continue; absent when any version of the service may begin it. */
  readonly origin?: StreamOrigin
  /** Memory that a generation is expected to need, in tokens; 0 for calls. */
  readonly tokens: number
  /** Prompt tokens that the target has to process before a generation starts. */
  readonly pendingPrefillTokens?: number
  /** Names of targets that must not be selected. */
  readonly excludedTargets: ReadonlySet<string>
  /** Availability zone whose targets count as local; by default the zone of this instance. */
  readonly localZone?: string
  /** Memory that a generation holds already; if given, the memory in use now decides whether an engine has room. */
  readonly heldTokens?: number
  /** Whether only targets in the local zone may be selected. */
  readonly isLocalOnly?: boolean
  /** Score penalty of a target outside the local zone; 1 corresponds to a fully used target. */
  readonly remoteZoneWeight?: number
  /** Returns the memory of an engine that has to stay free for more urgent requests, in tokens; by default none. */
  readonly getHeadroomTokens?: (engine: RelayTarget) => number
}

/** Selects targets by their known total load and tracks reservations. */
export class RelayPlacer {
  /**
   * Creates a placer.
   * @param options - Options of the placer.
   */
  static create (options: RelayPlacerOptions): RelayPlacer {
    return new RelayPlacer(options)
  }

  private readonly listeners = new Set<() => void>()

  /** @internal */
  private constructor (private readonly options: RelayPlacerOptions) {}

  /**
   * Selects a target with free capacity and reserves it.
   * @param requirements - Requirements on the target.
   */
  reserveBestTarget (requirements: TargetRequirements): TargetReservation | undefined {
    const { service, origin, tokens, heldTokens, excludedTargets, isLocalOnly = false, remoteZoneWeight } = requirements
    const { random, table, availability } = this.options
    const usable = table.listUsable(service.name, origin)
    const createCandidate = this.createCandidateFactory(usable, requirements)
    const candidates = usable.filter(({ target }) => !excludedTargets.has(target.name) && availability.findClosure(target) === undefined).map(createCandidate).filter(({ isLocal }) => isLocal || !isLocalOnly)
    const choice = service.engine === undefined ? pickCallTarget(candidates, random) : pickEngine(candidates, { profile: service.engine, tokens, heldTokens, random, remoteZoneWeight, mustWaitForPrefill: requirements.pendingPrefillTokens !== undefined })
    return choice === undefined ? undefined : this.reserveTarget(choice.tracked.target, tokens, { score: choice.score, pendingPrefillTokens: requirements.pendingPrefillTokens, headroomTokens: requirements.getHeadroomTokens?.(choice.tracked.target) })
  }

  /**
   * Reserves a specific target regardless of its load and its limit; whether it wants requests is checked when one is sent.
   * @param target - The target.
   * @param tokens - Memory that the generation is expected to need.
   * @param choice - Score of the selection, for the log, prompt tokens that the target has to process, and memory that has to stay free.
   */
  reserveTarget (target: RelayTarget, tokens: number, { score = 0, pendingPrefillTokens = 0, headroomTokens = 0 }: { readonly score?: number, readonly pendingPrefillTokens?: number, readonly headroomTokens?: number } = {}): TargetReservation {
    this.options.limits.recordRequest(target)
    return TargetReservation.create({ target, tokens, score, pendingPrefillTokens, headroomTokens, loads: this.options.loads, onRelease: () => this.notifyCapacity() })
  }

  /**
   * Counts the targets of a service that may receive new requests.
   * @param service - The service.
   * @param limits - Origin of the stream that the targets have to continue, and names of targets that are not counted.
   */
  countUsable (service: ServiceProfile, { origin, excludedTargets }: { readonly origin?: StreamOrigin, readonly excludedTargets?: ReadonlySet<string> } = {}): number {
    return this.options.table.listUsable(service.name, origin).filter(({ target }) => excludedTargets?.has(target.name) !== true).length
  }

  /**
   * Lists the names of the targets of a service that may receive new requests.
   * @param service - The service.
   */
  listUsableNames (service: ServiceProfile): string[] {
    return this.options.table.listUsable(service.name).map(({ target }) => target.name)
  }

  /**
   * Returns whether any target meets the requirements apart from its load, its health and its limit.
   * @param requirements - Requirements on the target.
   */
  hasSuitableTarget ({ service, origin, excludedTargets }: TargetRequirements): boolean {
    return this.countUsable(service, { origin, excludedTargets }) > 0
  }

  /**
   * Returns why nothing may be sent to any target of a service and the time until one opens, which is `Infinity` when this instance
   * leaves all of them to other instances; undefined when a target is open or there is none.
   * @param service - The service.
   * @param origin - Origin of the stream that the targets have to continue.
   */
  findClosure (service: ServiceProfile, origin?: StreamOrigin): Closure | undefined {
    const { table, availability } = this.options
    let earliest: Closure | undefined
    for (const { target } of table.listUsable(service.name, origin)) {
      const closure = availability.findClosure(target)
      if (closure === undefined) return undefined
      if (earliest === undefined || closure.waitMs < earliest.waitMs) earliest = closure
    }
    return earliest
  }

  /**
   * Adds a listener.
   * @param listener - Called when capacity may have become available.
   */
  addCapacityListener (listener: () => void): void {
    this.listeners.add(listener)
  }

  /** Notifies listeners that capacity may have become available. */
  notifyCapacity (): void {
    for (const listener of this.listeners) listener()
  }

  private createCandidateFactory (usable: readonly TrackedTarget[], { localZone, service, getHeadroomTokens }: TargetRequirements): (tracked: TrackedTarget) => TargetCandidate {
    const { clock, loads, health, availability, availabilityZone, pickPreferred, listDeclining } = this.options
    const zone = localZone ?? availabilityZone
    const isLocal = ({ target }: TrackedTarget): boolean => target.availabilityZone === zone
    const preferred = service.engine === undefined ? undefined : pickPreferred?.(usable.map(({ target }) => target))
    const declining = service.engine === undefined ? undefined : listDeclining?.(service.name)
    return tracked => ({
      tracked,
      load: loads.getTotalLoad(tracked.target.name),
      failureRate: health.getFailureRate(tracked.target.name),
      isUnreachable: availability.isUnreachable(tracked.target),
      isInSlowStart: clock.nowMs() < tracked.slowStartEndMs,
      isLocal: isLocal(tracked),
      isPreferred: preferred?.has(tracked.target.name) ?? true,
      isDeclining: declining !== undefined && declining.size > 0 && declining.has(formatOriginKey(tracked.target)),
      headroomTokens: getHeadroomTokens?.(tracked.target)
    })
  }
}
