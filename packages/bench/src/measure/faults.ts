import { type Clock } from '@fescuespoke/common'
import { type InMemoryNetwork } from '@fescuespoke/peers'
import { type FleetView } from './FleetView.js'
import { type Fault, type FaultKind } from './scenarios.js'
import { type SimulatedInstance } from './SimulatedInstance.js'
import { type SimulatedTarget } from './SimulatedTarget.js'

/** What faults act on. */
export interface FaultContext {
  readonly clock: Clock
  readonly network: InMemoryNetwork
  readonly view: FleetView
  readonly targets: readonly SimulatedTarget[]
  readonly instances: readonly SimulatedInstance[]
  readonly availabilityZones: readonly string[]
}

const SLOW_FACTOR = 3

/** Notice of a reclaimed engine. */
const RECLAIM_NOTICE_MS = 30_000

/** Time until a lost availability zone's silent connections are given up. */
const SILENCE_MS = 3000

type FaultHandler = (context: FaultContext, fault: Fault) => void

const FAULT_HANDLERS: Record<FaultKind, FaultHandler> = {
  slowEngine: ({ targets }, { index }) => targets[index]?.setSlow(SLOW_FACTOR),
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
  stopZone,
  runPause: (context, { index, durationMs }) => runPause(context, context.instances[index] as SimulatedInstance, durationMs ?? 0),
  splitFleet
}

/**
 * Starts the timers of a run's faults.
 * @param context - What they act on.
 * @param faults - The faults.
 */
export function startFaults (context: FaultContext, faults: readonly Fault[]): void {
  for (const fault of faults) context.clock.startTimer(fault.atMs, () => FAULT_HANDLERS[fault.kind](context, fault))
}

function stopZone (context: FaultContext, { index }: Fault): void {
  const zone = context.availabilityZones[index]
  const lostTargets = context.targets.filter(({ target }) => target.availabilityZone === zone)
  const lostInstances = context.instances.filter(instance => instance.availabilityZone === zone)
  const others = context.instances.filter(instance => instance.availabilityZone !== zone)
  for (const target of lostTargets) target.kill()
  context.clock.startTimer(SILENCE_MS, () => lostTargets.forEach(target => target.closeConnections()))
  context.network.partition(lostInstances.map(({ name }) => name), others.map(({ name }) => name))
  for (const instance of lostInstances) {
    instance.kill()
    context.view.setDown(instance.name, true)
  }
}

function runPause (context: FaultContext, instance: SimulatedInstance, durationMs: number): void {
  context.network.pause(instance.name)
  context.view.setDown(instance.name, true)
  context.clock.startTimer(durationMs, () => {
    context.network.resume(instance.name)
    context.view.setDown(instance.name, false)
  })
}

function splitFleet (context: FaultContext, { durationMs }: Fault): void {
  const names = context.instances.map(({ name }) => name)
  const groups = [names.filter((_, index) => index % 2 === 0), names.filter((_, index) => index % 2 === 1)]
  context.network.partition(groups[0] ?? [], groups[1] ?? [])
  context.view.setSplit(groups, true)
  context.clock.startTimer(durationMs ?? 0, () => {
    context.network.heal()
    context.view.setSplit(groups, false)
  })
}
