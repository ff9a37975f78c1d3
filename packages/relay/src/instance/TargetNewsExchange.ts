import { type News } from '@fescuespoke/schema'
import { type CrashEvidence } from '../crashes/CrashEvidence.js'
import { type ColdTargets } from '../limits/ColdTargets.js'
import { type TargetLimits } from '../limits/TargetLimits.js'
import { type InstanceCensus } from './InstanceCensus.js'
import { type TargetNotices } from '../targets/TargetNotices.js'

/** Fields of a gossip message about targets. */
export type TargetNews = Pick<News, 'limits' | 'leavingTargets' | 'engineCrashes' | 'soundParts' | 'coldTargets' | 'possibleInstances'>

/** Options of an exchange of news. */
export interface TargetNewsExchangeOptions {
  readonly limits: TargetLimits
  readonly coldTargets: ColdTargets
  /** Returns the census of the instances. */
  readonly getCensus: () => InstanceCensus
  readonly crashes: CrashEvidence
  /** Returns the notices of targets. */
  readonly getNotices: () => TargetNotices
}

/** What instances tell one another about targets with gossip, beside the published entries. */
export class TargetNewsExchange {
  /**
   * Creates an exchange.
   * @param options - Options of the exchange.
   */
  static create (options: TargetNewsExchangeOptions): TargetNewsExchange {
    return new TargetNewsExchange(options)
  }

  /** @internal */
  private constructor (private readonly options: TargetNewsExchangeOptions) {}

  /** Creates the fields for a message. Instances of an earlier release do not know them, so they are absent where there is no news. */
  createNews (): TargetNews {
    const limits = this.options.limits.listNews()
    const leavingTargets = this.options.getNotices().listLeavingNews()
    const engineCrashes = this.options.crashes.listCrashNews()
    const soundParts = this.options.crashes.listSoundNews(engineCrashes)
    const coldTargets = this.options.coldTargets.listNews()
    const possibleInstances = this.options.coldTargets.hasRates() ? this.options.getCensus().findReport() : undefined
    return {
      ...(limits.length > 0 ? { limits } : {}),
      ...(leavingTargets.length > 0 ? { leavingTargets } : {}),
      ...(engineCrashes.length > 0 ? { engineCrashes } : {}),
      ...(soundParts.length > 0 ? { soundParts } : {}),
      ...(coldTargets.length > 0 ? { coldTargets } : {}),
      ...(possibleInstances === undefined ? {} : { possibleInstances })
    }
  }

  /**
   * Handles the fields of a peer's message.
   * @param peer - Name of the peer.
   * @param news - The fields.
   */
  handleNews (peer: string, { limits = [], leavingTargets = [], engineCrashes = [], soundParts = [], coldTargets = [], possibleInstances }: TargetNews): void {
    this.options.limits.mergeNews(peer, limits)
    this.options.getNotices().mergeLeavingNews(peer, leavingTargets)
    this.options.crashes.mergeNews(peer, engineCrashes, soundParts)
    this.options.coldTargets.mergeNews(peer, coldTargets)
    if (possibleInstances !== undefined) this.options.getCensus().recordReport(possibleInstances)
  }
}
