import { PauseDetector } from '@fescuespoke/common'
import { Agent, type Dispatcher } from 'undici'
import { type RunnerTools } from '../dispatch/RequestRunner.js'
import { LeaseRegistry } from '../leases/LeaseRegistry.js'
import { RequestMetrics } from '../metrics/RequestMetrics.js'
import { RequestService } from '../requests/RequestService.js'
import { ResumeService } from '../resume/ResumeService.js'
import { ResumeTokens } from '../resume/ResumeTokens.js'
import { type Basis, createBasis } from './Basis.js'
import { createOrders, type OrderParts } from './createOrders.js'
import { createTargetParts, type TargetParts } from './createTargetParts.js'
import { createViews, type Views } from './createViews.js'
import { type InstanceOptions } from './InstanceOptions.js'

/** The parts of one instance, joined. */
export interface InstanceParts extends Basis, Views, TargetParts, OrderParts {
  readonly pauses: PauseDetector
  readonly leases: LeaseRegistry
  readonly requests: RequestService
  readonly resumes: ResumeService
  readonly resumeTokens: ResumeTokens
  /** Connections to other instances for forwarded requests. */
  readonly dispatcher: Dispatcher
}

/** What the parts ask of their instance. */
export interface PartHooks {
  /** Tells whether new requests are refused because the instance stops. */
  readonly isRefusing: () => boolean
}

/**
 * Creates the parts of an instance and joins them.
 * @param options - Options of the instance.
 * @param hooks - What the parts ask of the instance.
 */
export function createParts (options: InstanceOptions, hooks: PartHooks): InstanceParts {
  const basis = createBasis(options)
  const { settings, incarnation, clock, random } = basis
  const views = createViews(options, basis)
  const targets = createTargetParts(options, basis, views)
  const { targetClient } = targets
  const leases = LeaseRegistry.create({ ...settings.requests, instance: settings.instance.id, incarnation, clock, random })
  const resumeTokens = ResumeTokens.create(settings.instance)
  const { configuration } = views
  const pauses = PauseDetector.create({ clock, onPause: pauseMs => recordPause(basis, configuration.getRevision(), pauseMs) })
  const requests = RequestService.create({
    ...settings.requests,
    clock,
    leases,
    tools: createTools(basis, targets, resumeTokens),
    getSnapshot: () => configuration.getSnapshot(),
    isRefusing: hooks.isRefusing,
    isRecovering: () => pauses.isRecovering()
  })
  return {
    ...basis,
    ...views,
    ...targets,
    ...createOrders(options, basis, views, targets),
    pauses,
    leases,
    requests,
    resumes: ResumeService.create({ clock, targetClient, resumeTokens }),
    resumeTokens,
    dispatcher: createDispatcher(basis)
  }
}

/**
 * Starts the tasks that keep the views of an instance up to date.
 * @param parts - Parts of the instance.
 */
export function startParts ({ configurationFollower, listFollower, scheduler, permits, orders, pauses }: InstanceParts): void {
  configurationFollower.start()
  listFollower.start()
  scheduler.start()
  permits.start()
  orders.start()
  pauses.run()
}

/**
 * Ends every task and connection of an instance's parts.
 * @param parts - The parts.
 */
export async function closeParts (parts: InstanceParts): Promise<void> {
  parts.pauses.stop()
  parts.poller.stop()
  parts.scheduler.stop()
  await Promise.all([parts.orders.stop(), parts.permits.stop(), parts.configurationFollower.stop(), parts.listFollower.stop()])
  await parts.peers.close()
  await parts.dispatcher.destroy()
  await parts.targetClient.close()
}

function createDispatcher ({ settings }: Basis): Dispatcher {
  const { connectTimeoutMs } = settings.requests
  return new Agent({ connect: { timeout: connectTimeoutMs }, headersTimeout: connectTimeoutMs, bodyTimeout: 0 })
}

function createTools (basis: Basis, { scheduler, targetClient, evidence }: TargetParts, resumeTokens: ResumeTokens): RunnerTools {
  const { settings, incarnation, clock, metrics } = basis
  let generations = 0
  return {
    scheduler,
    targetClient,
    clock,
    targetGate: {
      isOpen: ({ name }) => evidence.isFreshFor(name),
      confirmOpen: async target => (await evidence.confirm(target)).isOk
    },
    resumeTokens,
    observer: RequestMetrics.create({ metrics, clock, tokenIntervalMs: settings.scheduling.tokenIntervalMs }),
    createGenerationName: () => `${settings.instance.id}~${incarnation}~${++generations}`,
    maxBufferedTokens: settings.requests.maxBufferedTokens
  }
}

function recordPause ({ audit, settings }: Basis, revision: number, pauseMs: number): void {
  const cause = `the process did not run for ${Math.round(pauseMs)} ms`
  audit.record({ kind: 'pauseDetected', subject: settings.instance.id, revision, cause })
}
