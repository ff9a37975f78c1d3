import { TargetStateTracker } from '@fescuespoke/configuration'
import { type Snapshot } from '@fescuespoke/common'
import { createScheduler, type TargetScheduler } from '@fescuespoke/scheduling'
import { HttpTargetClient } from '../targets/HttpTargetClient.js'
import { type TargetClient } from '../targets/TargetClient.js'
import { TargetPoller } from '../targets/TargetPoller.js'
import { type InstanceContext } from './InstanceContext.js'
import { type Views } from './createViews.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** Components that place requests on targets and poll their state. */
export interface TargetComponents {
  readonly scheduler: TargetScheduler
  readonly targetClient: TargetClient
  readonly poller: TargetPoller
  readonly targetStates: TargetStateTracker
}

/**
 * Creates the components that place requests on targets and poll their state.
 * @param options - Options of the instance.
 * @param context - Settings and services of the instance.
 * @param views - Views of the platform and of the peers.
 */
export function createTargetComponents (options: InstanceOptions, context: InstanceContext, views: Views): TargetComponents {
  const { settings, clock, random, audit } = context
  const { configuration, instanceList, instanceListFollower, peers } = views
  const targetClient = options.targetClient ?? HttpTargetClient.create({ ...settings.requests, clock, bufferBudget: context.bufferBudget, observeTraffic: createTrafficObserver(context) })
  const scheduler = createScheduler({
    ...settings.instance,
    instance: settings.instance.id,
    clock,
    random,
    transport: peers.transport,
    listAliveInstances: () => peers.listAliveInstances(),
    settings: settings.scheduling,
    recordAudit: entry => audit.record(entry)
  })
  const targetStates = TargetStateTracker.create({
    clock,
    audit,
    list: instanceList,
    listRefresher: instanceListFollower,
    reader: targetClient,
    defaultMaxAgeMs: settings.requests.evidenceMs,
    getRevision: () => configuration.getRevision()
  })
  const poller = TargetPoller.create({
    clock,
    random,
    scheduler,
    targetClient,
    targetStates,
    getSnapshot: (): Snapshot => configuration.getSnapshot(),
    intervalMs: settings.scheduling.stateMs,
    maxPollsPerSecond: settings.scheduling.maxPollsPerSecond
  })
  return { scheduler, targetClient, poller, targetStates }
}

function createTrafficObserver ({ metrics }: InstanceContext): (bytesOut: number, bytesIn: number) => void {
  const sent = metrics.getCounter('controlBytes', { channel: 'targets', direction: 'out' })
  const received = metrics.getCounter('controlBytes', { channel: 'targets', direction: 'in' })
  return (bytesOut, bytesIn) => {
    sent.add(bytesOut)
    received.add(bytesIn)
  }
}
