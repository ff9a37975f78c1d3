import { type Clock, type Random } from '@fescuespoke/common'
import { type TargetLoads } from '../loads/TargetLoads.js'
import { type ServiceProfile } from '../model/RelayConfiguration.js'
import { type RelayTarget } from '../model/RelayTarget.js'
import { type TargetQuality } from '../targets/TargetQuality.js'
import { type KnownTarget, type TargetTable } from '../targets/TargetTable.js'
import { pickCallTarget, pickEngine, type TargetOption } from './pickTarget.js'
import { TargetUse } from './TargetUse.js'

/** Options of a placer. */
export interface RelayPlacerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly table: TargetTable
  readonly loads: TargetLoads
  readonly quality: TargetQuality
  readonly availabilityZone: string
  /**
   * Picks the engines whose load this instance knows well.
   * @param targets - All engines of a service that may be used.
   */
  readonly pickPreferred?: (targets: readonly RelayTarget[]) => ReadonlySet<string>
}

/** What a target is wanted for. */
export interface TargetNeed {
  readonly service: ServiceProfile
  /** Memory that a generation is expected to need; 0 for calls. */
  readonly tokens: number
  /** Prompt tokens that the target has to read before a generation begins. */
  readonly unread?: number
  /** Names of targets that are not wanted. */
  readonly excluded: ReadonlySet<string>
  /** Availability zone whose targets are near; the instance's own by default. */
  readonly nearZone?: string
  /** How much a far target is avoided, in units of a fully used one. */
  readonly farWeight?: number
}

/** Chooses targets by the load of all instances as far as it is known, and counts what is in use. */
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
   * Takes a target into use, if there is one with room.
   * @param need - What it is wanted for.
   */
  takeTarget (need: TargetNeed): TargetUse | undefined {
    const { service, tokens, excluded, farWeight } = need
    const { random, table } = this.options
    const usable = table.listUsable(service.name)
    const describe = this.createDescriber(usable, need)
    const options = usable.filter(({ target }) => !excluded.has(target.name)).map(describe)
    const choice = service.engine === undefined ? pickCallTarget(options, random) : pickEngine(options, { profile: service.engine, tokens, random, farWeight, waitsForPrompts: need.unread !== undefined })
    return choice === undefined ? undefined : this.useTarget(choice.known.target, tokens, { score: choice.score, unread: need.unread })
  }

  /**
   * Takes a certain target into use, whatever its load.
   * @param target - The target.
   * @param tokens - Memory that a generation is expected to need.
   * @param choice - Score of the choice, for the log, and prompt tokens that are to be read.
   */
  useTarget (target: RelayTarget, tokens: number, { score = 0, unread = 0 }: { readonly score?: number, readonly unread?: number } = {}): TargetUse {
    return TargetUse.create({ target, tokens, score, unread, loads: this.options.loads, onRelease: () => this.notifyRoom() })
  }

  /**
   * Counts the targets of a service that may get new work.
   * @param service - The service.
   */
  countUsable (service: ServiceProfile): number {
    return this.options.table.listUsable(service.name).length
  }

  /**
   * Adds a listener.
   * @param listener - Called when there may be room again.
   */
  addRoomListener (listener: () => void): void {
    this.listeners.add(listener)
  }

  /** Tells those that wait that there may be room. */
  notifyRoom (): void {
    for (const listener of this.listeners) listener()
  }

  private createDescriber (usable: readonly KnownTarget[], { nearZone, service }: TargetNeed): (known: KnownTarget) => TargetOption {
    const { clock, loads, quality, availabilityZone, pickPreferred } = this.options
    const zone = nearZone ?? availabilityZone
    const isNear = ({ target }: KnownTarget): boolean => target.availabilityZone === zone
    const preferred = service.engine === undefined ? undefined : pickPreferred?.(usable.map(({ target }) => target))
    return known => ({
      known,
      load: loads.getTotal(known.target.name),
      failureShare: quality.getFailureShare(known.target.name),
      isUnreachable: quality.isUnreachable(known.target.name),
      isSlow: clock.nowMs() < known.slowUntilMs,
      isNear: isNear(known),
      isPreferred: preferred?.has(known.target.name) ?? true
    })
  }
}
