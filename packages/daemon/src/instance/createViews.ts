import {
  ConfigurationFollower, ConfigurationView, type FleetMember, HttpConfigurationSource, HttpInstanceListSource, InstanceListFollower,
  InstanceListView
} from '@fescuespoke/configuration'
import { type FleetNews } from '@fescuespoke/peers'
import { type Maybe } from 'true-myth'
import { PeerGroup } from '../peers/PeerGroup.js'
import { type Basis } from './Basis.js'
import { createNetworkFactory } from './createNetworkFactory.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** What an instance knows of the platform and of its peers, and the tasks that keep it up to date. */
export interface Views {
  readonly configuration: ConfigurationView
  readonly list: InstanceListView
  readonly peers: PeerGroup
  readonly configurationFollower: ConfigurationFollower
  readonly listFollower: InstanceListFollower
}

/**
 * Creates the views of an instance.
 * @param options - Options of the instance.
 * @param basis - What all parts share.
 */
export function createViews (options: InstanceOptions, basis: Basis): Views {
  const { clock, audit, settings } = basis
  const configuration = ConfigurationView.create({ clock, audit })
  const getRevision = (): number => configuration.getRevision()
  const list = InstanceListView.create({ clock, audit, getRevision })
  const peers = PeerGroup.create({
    ...basis,
    createTransport: options.createTransport ?? createNetworkFactory(basis),
    getNews: () => ({ revision: getRevision(), listVersion: list.getVersion(), listAgeMs: formatListAge(list) }),
    observeNews: (from, news, sentAtMs) => observeNews(views, from, news, sentAtMs)
  })
  const { id, availabilityZone } = settings.instance
  const self: FleetMember = { instance: id, availabilityZone }
  const shared = { ...basis, transport: peers.transport, self, getRevision, listPeers: () => peers.listOthers() }
  const { configurationUrl, instanceListUrl } = settings.platform
  const configurationSource = options.configurationSource ?? HttpConfigurationSource.create({ url: configurationUrl, clock })
  const listSource = options.instanceListSource ?? HttpInstanceListSource.create({ url: instanceListUrl, clock })
  const views: Views = {
    configuration,
    list,
    peers,
    configurationFollower: ConfigurationFollower.create({ ...shared, view: configuration, source: configurationSource }),
    listFollower: InstanceListFollower.create({ ...shared, view: list, source: listSource })
  }
  list.addListener(() => peers.setListed(list.listInstances()))
  configuration.addListener(() => peers.announceNews())
  return views
}

/** Takes over a higher revision and the confirmation of the list that a peer told with its probe. */
function observeNews (views: Views, from: string, news: FleetNews, sentAtMs: Maybe<number>): void {
  views.configurationFollower.observeRevision(news.revision, from)
  if (sentAtMs.isJust) views.list.recordConfirmation(news.listVersion, sentAtMs.value - news.listAgeMs)
}

function formatListAge (list: InstanceListView): number {
  return Math.ceil(Math.min(list.getAgeMs(), Number.MAX_SAFE_INTEGER))
}
