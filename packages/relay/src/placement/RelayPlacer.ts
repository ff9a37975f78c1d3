import { type Clock, type Random } from '@fescuespoke/common'
import { type ColdTargets } from '../limits/ColdTargets.js'
import { type TargetLimits } from '../limits/TargetLimits.js'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type AllowedRegions, type RegionMap } from '../places/RegionMap.js'
import { type PromptPart } from '../prefixes/PromptPart.js'
import { type PromptPrefixes } from '../prefixes/PromptPrefixes.js'
import { type TargetSpeeds } from '../speeds/TargetSpeeds.js'
import { type Closure, type TargetAvailability } from '../targets/TargetAvailability.js'
import { type TargetHealth } from '../targets/TargetHealth.js'
import { type TrackedTarget, type TargetTable } from '../targets/TargetTable.js'
import { formatOriginKey, type StreamOrigin } from '../versions/StreamOrigin.js'
import { pickCallTarget, pickEngine, type TargetCandidate } from './pickTarget.js'
import { TargetReservation, type TargetReservationOptions } from './TargetReservation.js'

/** Options of a relay placer. */
export interface RelayPlacerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly table: TargetTable
  readonly loads: TargetLoads
  readonly health: TargetHealth
  readonly limits: TargetLimits
  readonly coldTargets: ColdTargets
  readonly availability: TargetAvailability
  readonly regions: RegionMap
  readonly availabilityZone: string
  /** Speeds of targets; without them all targets have the same speed. */
  readonly speeds?: TargetSpeeds
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
  /** Beginnings of prompts that engines hold; by default none are known. */
  readonly prefixes?: PromptPrefixes
}

/** Requirements on a target. */
export interface TargetRequirements {
  readonly service: ServiceProfile
  /** Origin of the stream that the target has to continue; absent when any version of the service may begin it. */
  readonly origin?: StreamOrigin
  /** Regions in which the target has to be; absent when all are allowed. */
  readonly allowedRegions?: AllowedRegions
  /** Memory that a generation is expected to need, in tokens; 0 for calls. */
  readonly tokens: number
  /** Prompt tokens that the target has to process before a generation starts. */
  readonly pendingPrefillTokens?: number
  /** Output that a generation is expected to produce from now on, in tokens. */
  readonly outputTokens?: number
  /** Parts of the prompt in order; absent when they are not known. */
  readonly promptParts?: readonly PromptPart[]
  /** Names of targets that must not be selected. */
  readonly excludedTargets: ReadonlySet<string>
  /** Returns whether a target may be selected; by default each may. */
  readonly maySelect?: (target: RelayTarget) => boolean
  /** Availability zone whose targets count as local; by default the zone of this instance. */
  readonly localZone?: string
  /** Memory that a generation holds already; if given, the memory in use now decides whether an engine has room. */
  readonly heldTokens?: number
  /** Whether only targets in the local zone may be selected. */
  readonly isLocalOnly?: boolean
  /** Score penalty of a target outside the local zone; 1 corresponds to a fully used target. */
  readonly remoteZoneWeight?: number
  /** Longest acceptable gap between two events of a generation, in milliseconds; a slow engine takes only as many as keep it. */
  readonly maxGapMs?: number
  /** Whether the engine decides on its capacity, so that one without known room is selected when no other one is left. */
  readonly isDecidedByEngine?: boolean
  /** Whether engines of this instance's group are selected first, then others in the local zone, then those of other zones. */
  readonly isNearestFirst?: boolean
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
    const { service, tokens, pendingPrefillTokens, excludedTargets, maySelect = () => true, isLocalOnly = false } = requirements
    const { random, availability } = this.options
    const usable = this.listUsable(service, requirements)
    const createCandidate = this.createCandidateFactory(usable, requirements)
    const candidates = usable.filter(({ target }) => !excludedTargets.has(target.name) && maySelect(target) && availability.findClosure(target, requirements.heldTokens ?? tokens) === undefined).map(createCandidate).filter(({ isLocal }) => isLocal || !isLocalOnly)
    const choice = service.engine === undefined ? pickCallTarget(candidates, random) : pickEngine(candidates, { ...requirements, profile: service.engine, random, mustWaitForPrefill: pendingPrefillTokens !== undefined, prefillTokens: pendingPrefillTokens })
    if (choice === undefined) return undefined
    const { tracked: { target }, score, heldPrefixTokens } = choice
    return this.reserveTarget(target, tokens, { score, pendingPrefillTokens, heldPrefixTokens, isTentative: requirements.isDecidedByEngine })
  }

  /**
   * Reserves a specific target regardless of its load and its limit; whether it wants requests is checked when one is sent.
   * @param target - The target.
   * @param tokens - Memory that the generation is expected to need.
   * @param choice - Score of the selection, for the log, prompt tokens that the target has to process, and whether it may still refuse the request.
   */
  reserveTarget (target: RelayTarget, tokens: number, { score = 0, ...choice }: Partial<Omit<TargetReservationOptions, 'target' | 'tokens' | 'loads' | 'onRelease'>> = {}): TargetReservation {
    this.options.limits.recordRequest(target)
    this.options.coldTargets.recordRequest(target)
    return TargetReservation.create({ ...choice, target, tokens, score, loads: this.options.loads, onRelease: () => this.notifyCapacity() })
  }

  /**
   * Counts the targets of a service that may receive new requests.
   * @param service - The service.
   * @param limits - Origin of the stream that the targets have to continue, their regions, and names of targets that are not counted.
   */
  countUsable (service: ServiceProfile, limits: Partial<Pick<TargetRequirements, 'origin' | 'allowedRegions' | 'excludedTargets'>> = {}): number {
    const { excludedTargets } = limits
    return this.listUsable(service, limits).filter(({ target }) => excludedTargets?.has(target.name) !== true).length
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
  hasSuitableTarget (requirements: TargetRequirements): boolean {
    return this.countUsable(requirements.service, requirements) > 0
  }

  /**
   * Returns why nothing may be sent to any target of a service and the time until one opens, which is `Infinity` when this instance
   * leaves all of them to other instances; undefined when a target is open or there is none.
   * @param service - The service.
   * @param limits - Origin of the stream that the targets have to continue, their regions, and memory that a generation needs, in tokens; by default, as much as any.
   */
  findClosure (service: ServiceProfile, limits: Partial<Pick<TargetRequirements, 'origin' | 'allowedRegions' | 'tokens'>> = {}): Closure | undefined {
    const { availability } = this.options
    let earliest: Closure | undefined
    for (const { target } of this.listUsable(service, limits)) {
      const closure = availability.findClosure(target, limits.tokens)
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

  private listUsable ({ name }: ServiceProfile, { origin, allowedRegions }: Pick<TargetRequirements, 'origin' | 'allowedRegions'>): TrackedTarget[] {
    const { table, regions } = this.options
    return table.listUsable(name, origin, ({ availabilityZone }) => regions.isAllowed(availabilityZone, allowedRegions))
  }

  private createCandidateFactory (usable: readonly TrackedTarget[], requirements: TargetRequirements): (tracked: TrackedTarget) => TargetCandidate {
    const { clock, loads, health, availability, availabilityZone, coldTargets, speeds, pickPreferred, listDeclining } = this.options
    const { localZone, service, maxGapMs, getHeadroomTokens } = requirements
    const zone = localZone ?? availabilityZone
    const isLocal = ({ target }: TrackedTarget): boolean => target.availabilityZone === zone
    const preferred = service.engine === undefined ? undefined : pickPreferred?.(usable.map(({ target }) => target))
    const declining = service.engine === undefined ? undefined : listDeclining?.(service.name)
    return tracked => ({
      tracked,
      load: loads.getTotalLoad(tracked.target.name),
      failureRate: health.getFailureRate(tracked.target.name),
      isUnreachable: availability.isUnreachable(tracked.target),
      isInSlowStart: clock.nowMs() < tracked.slowStartEndMs || coldTargets.isCold(tracked.target),
      isLocal: isLocal(tracked),
      speed: speeds?.getSpeed(tracked.target),
      maxRunning: maxGapMs === undefined ? undefined : speeds?.getMaxRunning(tracked.target, maxGapMs),
      isPreferred: preferred?.has(tracked.target.name) ?? true,
      isDeclining: declining !== undefined && declining.size > 0 && declining.has(formatOriginKey(tracked.target)),
      heldPrefixTokens: this.estimateHeldPrefixTokens(tracked.target, requirements),
      headroomTokens: getHeadroomTokens?.(tracked.target)
    })
  }

  /** Estimates how many tokens of a prompt an engine does not have to read; undefined when the parts of the prompt are not known. */
  private estimateHeldPrefixTokens (target: RelayTarget, { service: { engine }, promptParts, pendingPrefillTokens }: TargetRequirements): number | undefined {
    const { prefixes, loads } = this.options
    if (prefixes === undefined || engine === undefined || promptParts === undefined || pendingPrefillTokens === undefined) return undefined
    const { heldTokens = 0, pendingPrefillTokens: arrivingTokens = 0 } = loads.getTotalLoad(target.name)
    return Math.min(pendingPrefillTokens, prefixes.estimateHeldTokens(target, promptParts, engine.memoryTokens - heldTokens - arrivingTokens))
  }
}
