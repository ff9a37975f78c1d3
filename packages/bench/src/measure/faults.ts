import { type Clock } from '@fescuespoke/common'
import { type InMemoryNetwork } from '@fescuespoke/peers'
import { type SimulatedMembership } from './SimulatedMembership.js'
import { type Fault, type FaultKind } from './scenarios.js'
import { type SimulatedInstance } from './SimulatedInstance.js'
import { type SimulatedTarget } from './SimulatedTarget.js'

/** Components of a run that faults are injected into. */
export interface FaultInjectionContext {
  readonly clock: Clock
  readonly network: InMemoryNetwork
  readonly membership: SimulatedMembership
  readonly targets: readonly SimulatedTarget[]
  readonly instances: readonly SimulatedInstance[]
  readonly availabilityZones: readonly string[]
}

const SLOWDOWN_FACTOR = 3

/** Time from the notice that an engine is reclaimed until it is killed. */
const RECLAIM_NOTICE_MS = 30_000

/** Time until silent connections to targets of a lost availability zone are closed. */
const CONNECTION_TIMEOUT_MS = 3000

type FaultHandler = (context: FaultInjectionContext, fault: Fault) => void

const FAULT_HANDLERS: Record<FaultKind, FaultHandler> = {
  slowEngine: ({ targets }, { index }) => targets[index]?.setStepFactor(SLOWDOWN_FACTOR),
  killEngine: ({ targets }, { index }) => {
    targets[index]?.kill()
    targets[index]?.closeConnections()
  },
  reclaimEngine: ({ targets, clock }, { index }) => {
    targets[index]?.setLeaving()
    clock.startTimer(RECLAIM_NOTICE_MS, () => {
      targets[index]?.kill()
      targets[index]?.closeConnections()
    })
  },
  stopAvailabilityZone,
  pauseInstance: (context, { index, durationMs }) => pauseInstance(context, context.instances[index] as SimulatedInstance, durationMs ?? 0),
  partitionFleet
}

/**
 * Schedules the faults of a run.
 * @param context - Components that the faults are injected into.
 * @param faults - Faults of the scenario.
 */
export function scheduleFaults (context: FaultInjectionContext, faults: readonly Fault[]): void {
  for (const fault of faults) context.clock.startTimer(fault.atMs, () => FAULT_HANDLERS[fault.kind](context, fault))
}

function stopAvailabilityZone (context: FaultInjectionContext, { index }: Fault): void {
  const zone = context.availabilityZones[index]
  const lostTargets = context.targets.filter(({ target }) => target.availabilityZone === zone)
  const lostInstances = context.instances.filter(instance => instance.availabilityZone === zone)
  const remainingInstances = context.instances.filter(instance => instance.availabilityZone !== zone)
  for (const target of lostTargets) target.kill()
  context.clock.startTimer(CONNECTION_TIMEOUT_MS, () => lostTargets.forEach(target => target.closeConnections()))
  context.network.partition(lostInstances.map(({ name }) => name), remainingInstances.map(({ name }) => name))
  for (const instance of lostInstances) {
    instance.kill()
    context.membership.setDown(instance.name, true)
  }
}

function pauseInstance (context: FaultInjectionContext, instance: SimulatedInstance, durationMs: number): void {
  context.network.pause(instance.name)
  context.membership.setDown(instance.name, true)
  context.clock.startTimer(durationMs, () => {
    context.network.resume(instance.name)
    context.membership.setDown(instance.name, false)
  })
}

function partitionFleet (context: FaultInjectionContext, { durationMs }: Fault): void {
  const names = context.instances.map(({ name }) => name)
  const groups = [names.filter((_, index) => index % 2 === 0), names.filter((_, index) => index % 2 === 1)]
  context.network.partition(groups[0] ?? [], groups[1] ?? [])
  context.membership.setPartitioned(groups, true)
  context.clock.startTimer(durationMs ?? 0, () => {
    context.network.heal()
    context.membership.setPartitioned(groups, false)
  })
}
