import { type TargetStatus } from '@fescuespoke/schema'
import { PrefixViews } from './affinity/PrefixViews.js'
import { CreditCoordinator } from './credits/CreditCoordinator.js'
import { CreditKeeper } from './credits/CreditKeeper.js'
import { CreditLedger } from './credits/CreditLedger.js'
import { RetryBudget } from './health/RetryBudget.js'
import { type HealthChange, TargetHealth } from './health/TargetHealth.js'
import { OutputLengths } from './lengths/OutputLengths.js'
import { OwnLoad } from './placement/OwnLoad.js'
import { TargetPicker } from './placement/TargetPicker.js'
import { getPolicy, type Policy } from './policies/policies.js'
import { WaitingRequests } from './queue/WaitingRequests.js'
import { createSchedulerCounters, type SchedulerCounters } from './SchedulerCounters.js'
import { TargetCapacities } from './targets/TargetCapacities.js'
import { TargetDirectory } from './targets/TargetDirectory.js'
import { TargetSubsets } from './targets/TargetSubsets.js'
import { type TargetSchedulerOptions } from './TargetSchedulerOptions.js'

/** What a scheduler is made of. */
export interface SchedulerParts {
  readonly policy: Policy
  readonly tokenIntervalMs: number
  readonly directory: TargetDirectory
  readonly capacities: TargetCapacities
  readonly subsets: TargetSubsets
  readonly health: TargetHealth
  readonly prefixes: PrefixViews
  readonly lengths: OutputLengths
  readonly retries: RetryBudget
  readonly coordinator: CreditCoordinator
  readonly ledger: CreditLedger
  readonly keeper: CreditKeeper
  readonly picker: TargetPicker
  readonly waiting: WaitingRequests
  readonly counters: SchedulerCounters
  /** Lists what is known of each observed target. */
  readonly listStatus: () => TargetStatus[]
}

const DEFAULT_TOKEN_INTERVAL_MS = 43
const DEFAULT_TARGETS_PER_INSTANCE = 16
const DEFAULT_MAX_QUEUED = 1000

/** Token interval at which a target counts as slow, as a multiple of the planned one. */
const SLOW_FACTOR = 1.6

/**
 * Creates the parts of a scheduler.
 * @param options - Options of the scheduler.
 * @param observeRoom - Is called when a target may have more room.
 * @internal
 */
export function createSchedulerParts (options: TargetSchedulerOptions, observeRoom: () => void): SchedulerParts {
  const { clock, random, instance, availabilityZone, region, transport, listAliveInstances } = options
  const policy = getPolicy(options.settings?.policy)
  const tokenIntervalMs = options.settings?.tokenIntervalMs ?? DEFAULT_TOKEN_INTERVAL_MS
  const getOwnLoad = createOwnLoads(policy)
  const directory = TargetDirectory.create()
  const capacities = TargetCapacities.create({ clock, directory, tokenIntervalMs })
  const subsets = TargetSubsets.create({ instance, region, targetsPerInstance: options.settings?.targetsPerInstance ?? DEFAULT_TARGETS_PER_INSTANCE })
  const health = TargetHealth.create({
    clock,
    slowIntervalMs: tokenIntervalMs * SLOW_FACTOR,
    excludesSlow: policy.excludesSlow,
    recordChange: change => recordHealthChange(options, change)
  })
  const prefixes = PrefixViews.create(clock)
  const coordinator = CreditCoordinator.create({ clock, getCapacity: target => capacities.getCapacity(target) })
  const ledger = CreditLedger.create({
    clock, transport, instance, answerLocally: request => coordinator.answerRequest(instance, request), observeExchange: observeRoom
  })
  const keeper = CreditKeeper.create({ clock, ledger, instance, availabilityZone, listAliveInstances, getOwnLoad })
  const picker = TargetPicker.create({
    policy,
    random,
    availabilityZone,
    directory,
    capacities,
    health,
    prefixes,
    ledger,
    getOwnLoad,
    countInstances: () => listAliveInstances().length,
    listConsidered: request => subsets.listConsidered(request.service, request.snapshot),
    fixedSequences: options.fixedSequences,
    nowMs: () => clock.nowMs()
  })
  const waiting = WaitingRequests.create({ clock, random, policy, maxQueued: options.settings?.maxQueued ?? DEFAULT_MAX_QUEUED })
  const listStatus = (): TargetStatus[] => directory.listTargets().map(target => describeTarget(target, { directory, health, capacities, keeper, getOwnLoad, clock }))
  return {
    policy,
    tokenIntervalMs,
    directory,
    capacities,
    subsets,
    health,
    prefixes,
    lengths: OutputLengths.create(),
    retries: RetryBudget.create(),
    coordinator,
    ledger,
    keeper,
    picker,
    waiting,
    counters: createSchedulerCounters(),
    listStatus
  }
}

function createOwnLoads (policy: Policy): (target: string) => OwnLoad {
  const loads = new Map<string, OwnLoad>()
  return target => {
    const known = loads.get(target)
    if (known !== undefined) return known
    const load = OwnLoad.create(policy.projection)
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

type StatusSources = Pick<SchedulerParts, 'directory' | 'health' | 'capacities' | 'keeper'> & {
  readonly getOwnLoad: (target: string) => OwnLoad
  readonly clock: TargetSchedulerOptions['clock']
}

function describeTarget (target: string, sources: StatusSources): TargetStatus {
  const { directory, health, capacities, keeper, getOwnLoad, clock } = sources
  const capacity = capacities.getCapacity(target)
  const own = getOwnLoad(target)
  const isExcluded = health.getState(target) === 'excluded'
  const getState = (): TargetStatus['state'] => directory.isLeaving(target) ? 'leaving' : isExcluded ? 'excluded' : 'active'
  return {
    target,
    state: getState(),
    running: own.count(),
    queued: 0,
    projectedTokens: Math.round(own.computePeakTokens()),
    capacityTokens: Number.isFinite(capacity.capacityTokens) ? Math.round(capacity.capacityTokens) : 0,
    evidenceAgeMs: Math.round(directory.getEvidence(target).match({ Just: evidence => clock.nowMs() - evidence.sentAtMs, Nothing: () => 0 })),
    coordinator: keeper.findKnownCoordinator(target).match<string | undefined>({ Just: name => name, Nothing: () => undefined })
  }
}
