import { HttpOrderClient, LoadPermits, PlacementController } from '@fescuespoke/configuration'
import { type InstanceContext } from './InstanceContext.js'
import { type TargetComponents } from './createTargetComponents.js'
import { type Views } from './createViews.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** Components that send orders to targets. */
export interface OrderComponents {
  readonly permits: LoadPermits
  readonly orders: PlacementController
}

/**
 * Creates the components that send orders to targets.
 * @param options - Options of the instance.
 * @param context - Settings and services of the instance.
 * @param views - Views of the platform and of the peers.
 * @param targets - Components that use targets.
 */
export function createOrderComponents (options: InstanceOptions, context: InstanceContext, views: Views, { targetStates }: TargetComponents): OrderComponents {
  const { clock, settings } = context
  const { configuration, configurationFollower, instanceList, instanceListFollower, peers } = views
  const { id, availabilityZone } = settings.instance
  const getFleetSize = (): number => instanceList.listInstances().length
  const permits = LoadPermits.create({
    ...context,
    transport: peers.transport,
    self: id,
    listPeers: () => peers.listAlivePeers().map(({ instance }) => instance),
    getFleetSize,
    loadsPerMinute: settings.platform.weightLoadsPerMinute
  })
  const orders = PlacementController.create({
    ...context,
    configuration,
    client: options.orderClient ?? HttpOrderClient.create({ clock }),
    self: { instance: id, availabilityZone },
    listPeers: () => peers.listAlivePeers(),
    getFleetSize,
    targetStates,
    permits,
    refreshViews: async () => { await Promise.all([configurationFollower.refresh(), instanceListFollower.refresh()]) },
    notifyRevision: revision => configurationFollower.requestRevision(revision)
  })
  return { permits, orders }
}
