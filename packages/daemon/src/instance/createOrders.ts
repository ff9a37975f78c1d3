import { HttpOrderClient, LoadPermits, OrderGiver } from '@fescuespoke/configuration'
import { type Basis } from './Basis.js'
import { type TargetParts } from './createTargetParts.js'
import { type Views } from './createViews.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** What an instance needs to give orders to targets. */
export interface OrderParts {
  readonly permits: LoadPermits
  readonly orders: OrderGiver
}

/**
 * Creates what an instance needs to give orders to targets.
 * @param options - Options of the instance.
 * @param basis - What all parts share.
 * @param views - Views of the instance.
 * @param targets - What the instance needs to use targets.
 */
export function createOrders (options: InstanceOptions, basis: Basis, views: Views, { evidence }: TargetParts): OrderParts {
  const { clock, settings } = basis
  const { configuration, configurationFollower, list, listFollower, peers } = views
  const { id, availabilityZone } = settings.instance
  const getFleetSize = (): number => list.listInstances().length
  const permits = LoadPermits.create({
    ...basis,
    transport: peers.transport,
    self: id,
    listPeers: () => peers.listOthers().map(({ instance }) => instance),
    getFleetSize,
    loadsPerMinute: settings.platform.weightLoadsPerMinute
  })
  const orders = OrderGiver.create({
    ...basis,
    configuration,
    client: options.orderClient ?? HttpOrderClient.create({ clock }),
    self: { instance: id, availabilityZone },
    listPeers: () => peers.listOthers(),
    getFleetSize,
    evidence,
    permits,
    refreshViews: async () => { await Promise.all([configurationFollower.refresh(), listFollower.refresh()]) },
    observeRevision: revision => configurationFollower.observeRevision(revision)
  })
  return { permits, orders }
}
