import { type TargetStatus } from '@fescuespoke/schema'
import { PrefixCacheIndex } from './affinity/PrefixCacheIndex.js'
import { CreditClient } from './credits/CreditClient.js'
import { CreditCoordinator } from './credits/CreditCoordinator.js'
import { CreditRenewer } from './credits/CreditRenewer.js'
import { FailedRequests } from './health/FailedRequests.js'
import { RetryBudget } from './health/RetryBudget.js'
import { type HealthChange, TargetHealth } from './health/TargetHealth.js'
import { OutputLengthStatistics } from './lengths/OutputLengthStatistics.js'
import { LocalLoad } from './placement/LocalLoad.js'
import { TargetPicker } from './placement/TargetPicker.js'
import { getPolicy, type Policy } from './policies/policies.js'
import { PlacementQueue } from './queue/PlacementQueue.js'
import { createSchedulerCounters, type SchedulerCounters } from './SchedulerCounters.js'
import { TargetCapacities } from './targets/TargetCapacities.js'
import { TargetStateCache } from './targets/TargetStateCache.js'
import { TargetSubsets } from './targets/TargetSubsets.js'
import { type TargetSchedulerOptions } from './TargetSchedulerOptions.js'

/** Components of a scheduler. */
export interface SchedulerComponents {
  readonly policy: Policy
  readonly tokenIntervalMs: number
  readonly stateCache: TargetStateCache
  readonly capacities: TargetCapacities
  readonly subsets: TargetSubsets
  readonly health: TargetHealth
  readonly prefixIndex: PrefixCacheIndex
  readonly outputLengths: OutputLengthStatistics
  readonly retryBudget: RetryBudget
  readonly failedRequests: FailedRequests
  readonly coordinator: CreditCoordinator
  readonly creditClient: CreditClient
  readonly creditRenewer: CreditRenewer
  readonly picker: TargetPicker
  readonly queue: PlacementQueue
  readonly counters: SchedulerCounters
  /** Returns the status of each target whose state was polled. */
  readonly listStatus: () => TargetStatus[]
}

const DEFAULT_TOKEN_INTERVAL_MS = 43
const DEFAULT_TARGETS_PER_INSTANCE = 16
const DEFAULT_MAX_QUEUED = 1000

/** A target counts as slow above this multiple of the planned token interval. */
const SLOW_INTERVAL_FACTOR = 1.6

/**
 * Creates the components of a scheduler.
 * @param options - Options of the scheduler.
 * @param handleCapacityChange - Called when a target may have more free capacity.
 * @internal
 */
export function createSchedulerComponents (options: TargetSchedulerOptions, handleCapacityChange: () => void): SchedulerComponents {
  const { clock, random, instance, availabilityZone, region, transport, listAliveInstances } = options
  const policy = getPolicy(options.settings?.policy)
  const tokenIntervalMs = options.settings?.tokenIntervalMs ?? DEFAULT_TOKEN_INTERVAL_MS
  const getLocalLoad = createLocalLoadLookup(policy)
  const stateCache = TargetStateCache.create()
  const capacities = TargetCapacities.create({ clock, stateCache, tokenIntervalMs })
  const subsets = TargetSubsets.create({ instance, region, targetsPerInstance: options.settings?.targetsPerInstance ?? DEFAULT_TARGETS_PER_INSTANCE })
  const health = TargetHealth.create({
    clock,
    slowIntervalMs: tokenIntervalMs * SLOW_INTERVAL_FACTOR,
    excludesSlowTargets: policy.excludesSlowTargets,
    recordChange: change => recordHealthChange(options, change)
  })
  const prefixIndex = PrefixCacheIndex.create(clock)
  const coordinator = CreditCoordinator.create({ clock, getCapacity: target => capacities.getCapacity(target) })
  const creditClient = CreditClient.create({
    clock, transport, instance, answerLocally: request => coordinator.answerRequest(instance, request), handleExchangeEnd: handleCapacityChange
  })
  const creditRenewer = CreditRenewer.create({ clock, creditClient, instance, availabilityZone, listAliveInstances, getLocalLoad })
  const picker = TargetPicker.create({
    policy,
    random,
    availabilityZone,
    stateCache,
    capacities,
    health,
    prefixIndex,
    creditClient,
    getLocalLoad,
    countInstances: () => listAliveInstances().length,
    listSubset: request => subsets.listSubset(request.service, request.snapshot),
    fixedSequences: options.fixedSequences,
    nowMs: () => clock.nowMs()
  })
  const queue = PlacementQueue.create({ clock, random, policy, maxQueued: options.settings?.maxQueued ?? DEFAULT_MAX_QUEUED })
  const listStatus = (): TargetStatus[] => stateCache.listTargets().map(target => createTargetStatus(target, { stateCache, health, capacities, creditRenewer, getLocalLoad, clock }))
  return {
    policy,
    tokenIntervalMs,
    stateCache,
    capacities,
    subsets,
    health,
    prefixIndex,
    outputLengths: OutputLengthStatistics.create(),
    retryBudget: RetryBudget.create(),
    failedRequests: FailedRequests.create(),
    coordinator,
    creditClient,
    creditRenewer,
    picker,
    queue,
    counters: createSchedulerCounters(),
    listStatus
  }
}

function createLocalLoadLookup (policy: Policy): (target: string) => LocalLoad {
  const loads = new Map<string, LocalLoad>()
  return target => {
    const existing = loads.get(target)
    if (existing !== undefined) return existing
    const load = LocalLoad.create(policy.projection)
    loads.set(target, load)
    return load
  }
}

function recordHealthChange (options: TargetSchedulerOptions, change: HealthChange): void {
  if (change.after === 'readmitting') return
  options.recordAudit?.({
    kind: change.after === 'excluded' ? 'targetExcluded' : 'targetReadmitted',
    subject: change.target,
    revision: options.getRevision?.() ?? 0,
    cause: change.cause,
    before: change.before,
    after: change.after
  })
}

type StatusSources = Pick<SchedulerComponents, 'stateCache' | 'health' | 'capacities' | 'creditRenewer'> & {
  readonly getLocalLoad: (target: string) => LocalLoad
  readonly clock: TargetSchedulerOptions['clock']
}

function createTargetStatus (target: string, sources: StatusSources): TargetStatus {
  const { stateCache, health, capacities, creditRenewer, getLocalLoad, clock } = sources
  const capacity = capacities.getCapacity(target)
  const localLoad = getLocalLoad(target)
  const isExcluded = health.getState(target) === 'excluded'
  const getState = (): TargetStatus['state'] => stateCache.isLeaving(target) ? 'leaving' : isExcluded ? 'excluded' : 'active'
  return {
    target,
    state: getState(),
    running: localLoad.count(),
    queued: 0,
    projectedTokens: Math.round(localLoad.computePeakTokens()),
    capacityTokens: Number.isFinite(capacity.capacityTokens) ? Math.round(capacity.capacityTokens) : 0,
    evidenceAgeMs: Math.round(stateCache.getLatestPoll(target).match({ Just: poll => clock.nowMs() - poll.sentAtMs, Nothing: () => 0 })),
    coordinator: creditRenewer.findCachedCoordinator(target).match<string | undefined>({ Just: name => name, Nothing: () => undefined })
  }
}
