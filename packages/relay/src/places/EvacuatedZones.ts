import { type DecisionLog } from '../logs/DecisionLog.js'
import { type RelayTarget } from '../model/RelayTarget.js'

/** Availability zones to whose targets nothing more is sent until operators withdraw the request. */
export class EvacuatedZones {
  /**
   * Creates a set without zones.
   * @param options - Log of the instance.
   */
  static create (options: { readonly log: DecisionLog }): EvacuatedZones {
    return new EvacuatedZones(options.log)
  }

  private readonly zones = new Set<string>()

  /** @internal */
  private constructor (private readonly log: DecisionLog) {}

  /**
   * Sets whether a zone is evacuated.
   * @param availabilityZone - The zone.
   * @param isActive - Whether nothing more may be sent there.
   */
  setZone (availabilityZone: string, isActive: boolean): void {
    if (this.zones.has(availabilityZone) === isActive) return
    if (isActive) this.zones.add(availabilityZone)
    else this.zones.delete(availabilityZone)
    this.log.recordStateChange(isActive ? 'zone evacuated' : 'zone evacuation ended', { availabilityZone, evacuated: [...this.zones] })
  }

  /**
   * Returns the time until a target may get requests again, in milliseconds: `Infinity` in an evacuated zone, since the end is not known.
   * @param target - The target.
   */
  getWaitMs ({ availabilityZone }: RelayTarget): number {
    return this.zones.has(availabilityZone) ? Infinity : 0
  }
}
