import {
  ConfigurationFollower, ConfigurationView, type FleetMember, HttpConfigurationSource, HttpInstanceListSource, InstanceListFollower,
  InstanceListView
} from '@fescuespoke/configuration'
import { type GossipPayload, NewsPush } from '@fescuespoke/peers'
import { type Maybe } from 'true-myth'
import { PeerGroup } from '../peers/PeerGroup.js'
import { CrashRecords } from '../crashes/CrashRecords.js'
import { type InstanceContext } from './InstanceContext.js'
import { createTcpTransportFactory } from './createTcpTransportFactory.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** Local views of the platform and of the peers, and the tasks that keep them up to date. */
export interface Views {
  readonly configuration: ConfigurationView
  readonly instanceList: InstanceListView
  readonly peers: PeerGroup
  readonly crashRecords: CrashRecords
  readonly configurationFollower: ConfigurationFollower
  readonly instanceListFollower: InstanceListFollower
}

/**
 * Creates the views of an instance and connects them to each other.
 * @param options - Options of the instance.
 * @param context - Settings and services of the instance.
 */
export function createViews (options: InstanceOptions, context: InstanceContext): Views {
  const { clock, audit, settings, bufferBudget } = context
  const configuration = ConfigurationView.create({ clock, audit })
  const getRevision = (): number => configuration.getRevision()
  const instanceList = InstanceListView.create({ clock, audit, getRevision })
  const crashRecords = CrashRecords.create({ clock, audit, getRevision })
  const peers = PeerGroup.create({
    ...context,
    createTransport: options.createTransport ?? createTcpTransportFactory(context),
    getFleetVersions: () => ({ revision: getRevision(), listVersion: instanceList.getVersion(), listAgeMs: getListAgeMs(instanceList), ...crashRecords.createNews() }),
    observeFleetVersions: (from, versions, sentAtMs) => applyPeerVersions(views, from, versions, sentAtMs)
  })
  const { id, availabilityZone } = settings.instance
  const self: FleetMember = { instance: id, availabilityZone }
  const followerOptions = { ...context, transport: peers.transport, self, getRevision, listPeers: () => peers.listAlivePeers() }
  const { configurationUrl, instanceListUrl } = settings.platform
  const configurationSource = options.configurationSource ?? HttpConfigurationSource.create({ url: configurationUrl, clock, bufferBudget })
  const listSource = options.instanceListSource ?? HttpInstanceListSource.create({ url: instanceListUrl, clock, bufferBudget })
  const views: Views = {
    configuration,
    instanceList,
    peers,
    crashRecords,
    configurationFollower: ConfigurationFollower.create({ ...followerOptions, view: configuration, source: configurationSource }),
    instanceListFollower: InstanceListFollower.create({ ...followerOptions, view: instanceList, source: listSource })
  }
  instanceList.addListener(() => peers.setListedInstances(instanceList.listInstances()))
  configuration.addListener(() => peers.announceFleetVersions())
  const crashPush = NewsPush.create({ clock, push: () => peers.announceFleetVersions() })
  crashRecords.addListener(() => crashPush.schedulePush())
  return views
}

/** Applies the configuration revision, the crashes and the confirmation of the instance list that a peer sent with its probe. */
function applyPeerVersions (views: Views, from: string, versions: GossipPayload, sentAtMs: Maybe<number>): void {
  views.configurationFollower.requestRevision(versions.revision, from)
  views.crashRecords.mergeNews(from, versions)
  if (sentAtMs.isJust) views.instanceList.recordConfirmation(versions.listVersion, sentAtMs.value - versions.listAgeMs)
}

function getListAgeMs (instanceList: InstanceListView): number {
  return Math.ceil(Math.min(instanceList.getAgeMs(), Number.MAX_SAFE_INTEGER))
}
