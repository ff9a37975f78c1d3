import {
  type ServiceV1,
  type ServiceV2,
  type TargetV1,
  type TargetV2,
  type WorkspaceV1,
  type WorkspaceV2
} from '@fescuespoke/schema'
import { type DeploymentShape, type PoolShape, type RecordVersion, type ServiceShape, type WorkspaceShape } from './DeploymentShape.js'

/** A target of a deployment and where it is reached. */
export interface PlacedTarget {
  readonly name: string
  readonly pool: PoolShape
  readonly availabilityZone: string
  readonly region: string
  readonly url: string
}

type OperatorRecord = ServiceV1 | ServiceV2 | TargetV1 | TargetV2 | WorkspaceV1 | WorkspaceV2

const MS_PER_SECOND = 1000

const TARGET_BUILDERS: Record<RecordVersion, (target: PlacedTarget) => OperatorRecord> = {
  1: createTargetV1,
  2: createTargetV2
}

const SERVICE_BUILDERS: Record<RecordVersion, (service: ServiceShape, targets: readonly PlacedTarget[]) => OperatorRecord> = {
  1: createServiceV1,
  2: createServiceV2
}

const WORKSPACE_BUILDERS: Record<RecordVersion, (workspace: WorkspaceShape) => OperatorRecord> = {
  1: createWorkspaceV1,
  2: createWorkspaceV2
}

/**
 * Creates the values that a configuration service publishes for a deployment, one record for each key.
 * @param shape - The deployment.
 * @param targets - Its targets.
 */
export function createRecordValues (shape: DeploymentShape, targets: readonly PlacedTarget[]): Record<string, string> {
  const records = [
    ...targets.map(target => TARGET_BUILDERS[target.pool.schemaVersion](target)),
    ...shape.services.map(service => SERVICE_BUILDERS[service.schemaVersion](service, targets)),
    ...shape.workspaces.map(workspace => WORKSPACE_BUILDERS[workspace.schemaVersion](workspace))
  ]
  return Object.fromEntries(records.map(record => [`${record.kind}/${record.name}`, JSON.stringify(record)]))
}

function createTargetV1 ({ name, url, availabilityZone, region, pool }: PlacedTarget): TargetV1 {
  return { schemaVersion: 1, kind: 'target', name, url, availabilityZone, region, checksOrders: pool.enforcesFences ?? false }
}

function createTargetV2 ({ name, url, availabilityZone, region, pool }: PlacedTarget): TargetV2 {
  const fencing = pool.enforcesFences === true ? 'enforced' : 'ignored'
  return { schemaVersion: 2, kind: 'target', name, url, pool: pool.name, availabilityZone, region, fencing }
}

function createServiceV1 (service: ServiceShape, targets: readonly PlacedTarget[]): ServiceV1 {
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

function createServiceV2 (service: ServiceShape): ServiceV2 {
  const { name, runs, priority, idempotent, delivery, deadlineMs, pool } = service
  return { schemaVersion: 2, kind: 'service', name, runs, pool, priority, idempotent, delivery, deadlineMs }
}

function createWorkspaceV1 ({ name, weight }: WorkspaceShape): WorkspaceV1 {
  return { schemaVersion: 1, kind: 'workspace', name, share: weight }
}

function createWorkspaceV2 ({ name, weight }: WorkspaceShape): WorkspaceV2 {
  return { schemaVersion: 2, kind: 'workspace', name, weight }
}
