import { type Explanation, type InstanceStatus } from '@fescuespoke/schema'
import { Maybe } from 'true-myth'
import { type LeaseRegistry } from '../leases/LeaseRegistry.js'
import { type InstanceComponents } from './createComponents.js'

/**
 * Returns the status of an instance for operators.
 * @param components - Components of the instance.
 * @param phase - Lifecycle phase of the instance.
 */
export function describeInstance (components: InstanceComponents, phase: InstanceStatus['phase']): InstanceStatus {
  const { settings, incarnation, configuration, instanceList, requests, scheduler, peers } = components
  return {
    instance: settings.instance.id,
    incarnation,
    availabilityZone: settings.instance.availabilityZone,
    phase,
    revision: configuration.getRevision(),
    listVersion: instanceList.getVersion(),
    listAgeMs: formatAge(instanceList.getAgeMs()),
    configurationAgeMs: formatAge(configuration.getAgeMs()),
    requests: requests.countRunning(),
    queued: scheduler.countQueued(),
    targets: scheduler.listTargetStatus(),
    members: peers.listMemberStatus(),
    refused: [...configuration.listRefused()]
  }
}

/**
 * Finds the explanation of a request: the steps that led to its target and outcome.
 * @param leases - Leases of the instance.
 * @param request - Public id of the request.
 * @returns The explanation, or `Maybe.nothing()` when no lease holds the request.
 */
export function findExplanation (leases: LeaseRegistry, request: string): Maybe<Explanation> {
  return Maybe.of(leases.listRequests().find(entry => entry.options.id === request)).map(entry => entry.getExplanation())
}

/** Rounds an age to whole milliseconds; an unknown age is reported as -1. */
function formatAge (ageMs: number): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : -1
}
