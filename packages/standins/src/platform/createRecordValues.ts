import {
  type ServiceV1,
  type ServiceV2,
  type TargetV1,
  type TargetV2,
  type WorkspaceV1,
  type WorkspaceV2
} from '@fescuespoke/schema'
import { type DeploymentSpec, type PoolSpec, type RecordVersion, type ServiceSpec, type WorkspaceSpec } from './DeploymentSpec.js'

/** Target of a deployment with its URL. */
export interface DeployedTarget {
  readonly name: string
  readonly pool: PoolSpec
  readonly availabilityZone: string
  readonly region: string
  readonly url: string
}

type RecordDocument = ServiceV1 | ServiceV2 | TargetV1 | TargetV2 | WorkspaceV1 | WorkspaceV2

const MS_PER_SECOND = 1000

const TARGET_BUILDERS: Record<RecordVersion, (target: DeployedTarget) => RecordDocument> = {
  1: createTargetV1,
  2: createTargetV2
}

const SERVICE_BUILDERS: Record<RecordVersion, (service: ServiceSpec, targets: readonly DeployedTarget[]) => RecordDocument> = {
  1: createServiceV1,
  2: createServiceV2
}

const WORKSPACE_BUILDERS: Record<RecordVersion, (workspace: WorkspaceSpec) => RecordDocument> = {
  1: createWorkspaceV1,
  2: createWorkspaceV2
}

/**
 * Creates the values that a configuration service publishes for a deployment.
 * @param spec - Specification of the deployment.
 * @param targets - Targets of the deployment.
 * @returns One record for each key, as JSON.
 */
export function createRecordValues (spec: DeploymentSpec, targets: readonly DeployedTarget[]): Record<string, string> {
  const records = [
    ...targets.map(target => TARGET_BUILDERS[target.pool.schemaVersion](target)),
    ...spec.services.map(service => SERVICE_BUILDERS[service.schemaVersion](service, targets)),
    ...spec.workspaces.map(workspace => WORKSPACE_BUILDERS[workspace.schemaVersion](workspace))
  ]
  return Object.fromEntries(records.map(record => [`${record.kind}/${record.name}`, JSON.stringify(record)]))
}

function createTargetV1 ({ name, url, availabilityZone, region, pool }: DeployedTarget): TargetV1 {
  return { schemaVersion: 1, kind: 'target', name, url, availabilityZone, region, checksOrders: pool.isFencingEnforced ?? false }
}

function createTargetV2 ({ name, url, availabilityZone, region, pool }: DeployedTarget): TargetV2 {
  const fencing = pool.isFencingEnforced === true ? 'enforced' : 'ignored'
  return { schemaVersion: 2, kind: 'target', name, url, pool: pool.name, availabilityZone, region, fencing }
}

function createServiceV1 (service: ServiceSpec, targets: readonly DeployedTarget[]): ServiceV1 {
  const { name, runs, priority, idempotent, delivery, deadlineMs, pool } = service
  return {
    schemaVersion: 1,
    kind: 'service',
    name,
    ...runs,
    priority,
    repeatable: idempotent,
    delivery,
    deadlineSeconds: deadlineMs / MS_PER_SECOND,
    targets: targets.filter(target => target.pool.name === pool).map(target => target.name) as ServiceV1['targets']
  }
}

function createServiceV2 (service: ServiceSpec): ServiceV2 {
  const { name, runs, priority, idempotent, delivery, deadlineMs, pool } = service
  return { schemaVersion: 2, kind: 'service', name, runs, pool, priority, idempotent, delivery, deadlineMs }
}

function createWorkspaceV1 ({ name, weight }: WorkspaceSpec): WorkspaceV1 {
  return { schemaVersion: 1, kind: 'workspace', name, share: weight }
}

function createWorkspaceV2 ({ name, weight }: WorkspaceSpec): WorkspaceV2 {
  return { schemaVersion: 2, kind: 'workspace', name, weight }
}
