import { TargetEvidence } from '@fescuespoke/configuration'
import { type Snapshot } from '@fescuespoke/common'
import { createScheduler, type TargetScheduler } from '@fescuespoke/scheduling'
import { HttpTargetClient } from '../targets/HttpTargetClient.js'
import { type TargetClient } from '../targets/TargetClient.js'
import { TargetPoller } from '../targets/TargetPoller.js'
import { type Basis } from './Basis.js'
import { type Views } from './createViews.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** What an instance needs to use targets. */
export interface TargetParts {
  readonly scheduler: TargetScheduler
  readonly targetClient: TargetClient
  readonly poller: TargetPoller
  readonly evidence: TargetEvidence
}

/**
 * Creates what an instance needs to use targets.
 * @param options - Options of the instance.
 * @param basis - What all parts share.
 * @param views - Views of the instance.
 */
export function createTargetParts (options: InstanceOptions, basis: Basis, views: Views): TargetParts {
  const { settings, clock, random, audit } = basis
  const { configuration, list, listFollower, peers } = views
  const targetClient = options.targetClient ?? HttpTargetClient.create({ ...settings.requests, clock, observeTraffic: createTrafficObserver(basis) })
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
  const evidence = TargetEvidence.create({
    clock,
    audit,
    list,
    seeker: listFollower,
    reader: targetClient,
    evidenceMs: settings.requests.evidenceMs,
    getRevision: () => configuration.getRevision()
  })
  const poller = TargetPoller.create({
    clock,
    random,
    scheduler,
    targetClient,
    evidence,
    getSnapshot: (): Snapshot => configuration.getSnapshot(),
    intervalMs: settings.scheduling.stateMs,
    maxPollsPerSecond: settings.scheduling.maxPollsPerSecond
  })
  return { scheduler, targetClient, poller, evidence }
}

function createTrafficObserver ({ metrics }: Basis): (bytesOut: number, bytesIn: number) => void {
  const sent = metrics.getCounter('controlBytes', { channel: 'targets', direction: 'out' })
  const received = metrics.getCounter('controlBytes', { channel: 'targets', direction: 'in' })
  return (bytesOut, bytesIn) => {
    sent.add(bytesOut)
    received.add(bytesIn)
  }
}
