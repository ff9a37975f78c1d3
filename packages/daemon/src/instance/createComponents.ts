import { PauseDetector } from '@fescuespoke/common'
import { Agent, type Dispatcher } from 'undici'
import { CrashDetector } from '../crashes/CrashDetector.js'
import { CrashExchange } from '../crashes/CrashExchange.js'
import { HarmfulRequests } from '../crashes/HarmfulRequests.js'
import { TrialTurns } from '../crashes/TrialTurns.js'
import { type RunnerDependencies } from '../dispatch/RequestRunner.js'
import { LeaseRegistry } from '../leases/LeaseRegistry.js'
import { RequestMetrics } from '../metrics/RequestMetrics.js'
import { RequestService } from '../requests/RequestService.js'
import { ResumeService } from '../resume/ResumeService.js'
import { ResumeTokenCodec } from '../resume/ResumeTokenCodec.js'
import { type InstanceContext, createInstanceContext } from './InstanceContext.js'
import { createOrderComponents, type OrderComponents } from './createOrderComponents.js'
import { createTargetComponents, type TargetComponents } from './createTargetComponents.js'
import { createViews, type Views } from './createViews.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** All components of one instance. */
export interface InstanceComponents extends InstanceContext, Views, TargetComponents, OrderComponents {
  readonly pauses: PauseDetector
  readonly leases: LeaseRegistry
  readonly requests: RequestService
  readonly resumes: ResumeService
  readonly crashExchange: CrashExchange
  readonly resumeTokenCodec: ResumeTokenCodec
  /** Connections to other instances for forwarded requests. */
  readonly dispatcher: Dispatcher
}

/** Callbacks from the components to their instance. */
export interface InstanceHooks {
  /** Returns whether new requests are rejected because the instance is stopping. */
  readonly isRejectingRequests: () => boolean
}

/**
 * Creates and connects the components of an instance.
 * @param options - Options of the instance.
 * @param hooks - Callbacks to the instance.
 */
export function createComponents (options: InstanceOptions, hooks: InstanceHooks): InstanceComponents {
  const context = createInstanceContext(options)
  const { settings, incarnation, clock, random } = context
  const views = createViews(options, context)
  const targets = createTargetComponents(options, context, views)
  const { targetClient } = targets
  const leases = LeaseRegistry.create({ ...settings.requests, instance: settings.instance.id, incarnation, clock, random })
  const resumeTokenCodec = ResumeTokenCodec.create(settings.instance)
  const { configuration } = views
  const pauses = PauseDetector.create({ clock, onPause: pauseMs => recordPause(context, configuration.getRevision(), pauseMs) })
  const requests = RequestService.create({
    ...settings.requests,
    clock,
    leases,
    runnerDependencies: createRunnerDependencies(context, views, targets, resumeTokenCodec),
    getSnapshot: () => configuration.getSnapshot(),
    isRejectingRequests: hooks.isRejectingRequests,
    isRecovering: () => pauses.isRecovering()
  })
  return {
    ...context,
    ...views,
    ...targets,
    ...createOrderComponents(options, context, views, targets),
    pauses,
    leases,
    requests,
    resumes: ResumeService.create({ clock, targetClient, resumeTokenCodec }),
    resumeTokenCodec,
    crashExchange: createCrashExchange(context, views),
    dispatcher: createDispatcher(context)
  }
}

/**
 * Starts the background tasks of an instance's components.
 * @param components - Components of the instance.
 */
export function startComponents ({ configurationFollower, instanceListFollower, scheduler, permits, orders, pauses }: InstanceComponents): void {
  configurationFollower.start()
  instanceListFollower.start()
  scheduler.start()
  permits.start()
  orders.start()
  pauses.run()
}

/**
 * Stops every task and closes every connection of an instance's components.
 * @param components - Components of the instance.
 */
export async function closeComponents (components: InstanceComponents): Promise<void> {
  components.pauses.stop()
  components.poller.stop()
  components.scheduler.stop()
  await Promise.all([components.orders.stop(), components.permits.stop(), components.configurationFollower.stop(), components.instanceListFollower.stop()])
  await components.peers.close()
  await components.dispatcher.destroy()
  await components.targetClient.close()
}

function createDispatcher ({ settings }: InstanceContext): Dispatcher {
  const { connectTimeoutMs } = settings.requests
  return new Agent({ connect: { timeout: connectTimeoutMs }, headersTimeout: connectTimeoutMs, bodyTimeout: 0 })
}

function createRunnerDependencies (context: InstanceContext, views: Views, targets: TargetComponents, resumeTokenCodec: ResumeTokenCodec): RunnerDependencies {
  const { scheduler, targetClient, targetStates } = targets
  const { settings, incarnation, clock, metrics } = context
  let generationCount = 0
  return {
    scheduler,
    targetClient,
    clock,
    targetReadiness: {
      isReady: ({ name }) => targetStates.canReceiveWork(name),
      confirmReady: async target => (await targetStates.confirm(target)).isOk
    },
    harmfulRequests: createHarmfulRequests(context, views, targets),
    resumeTokenCodec,
    observer: RequestMetrics.create({ metrics, clock, tokenIntervalMs: settings.scheduling.tokenIntervalMs }),
    createGenerationId: () => `${settings.instance.id}~${incarnation}~${++generationCount}`,
    maxBufferedTokens: settings.requests.maxBufferedTokens
  }
}

function createHarmfulRequests (context: InstanceContext, { crashRecords: records, configuration, peers }: Views, targets: TargetComponents): HarmfulRequests {
  const { id: instance } = context.settings.instance
  return HarmfulRequests.create({
    ...context,
    records,
    detector: CrashDetector.create({ ...context, ...targets, records }),
    turns: TrialTurns.create({ ...context, instance, listInstances: () => peers.listAliveInstances().map(member => member.instance) }),
    getRevision: () => configuration.getRevision()
  })
}

function createCrashExchange ({ settings }: InstanceContext, { crashRecords: records, instanceList, peers: { transport } }: Views): CrashExchange {
  return CrashExchange.create({ instance: settings.instance.id, records, transport, listEntries: () => instanceList.listInstances() })
}

function recordPause ({ audit, settings }: InstanceContext, revision: number, pauseMs: number): void {
  const cause = `the process did not run for ${Math.round(pauseMs)} ms`
  audit.record({ kind: 'pauseDetected', subject: settings.instance.id, revision, cause })
}
