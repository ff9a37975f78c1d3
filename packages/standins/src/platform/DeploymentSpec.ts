import { type ModelReference } from '@fescuespoke/common'
import { type Delivery, type Priority } from '@fescuespoke/schema'

/** Schema version of a published record. */
export type RecordVersion = 1 | 2

/** Specification of a pool of identical targets. */
export interface PoolSpec {
  readonly name: string
  readonly kind: 'engine' | 'plain'
  /** Number of targets. */
  readonly targets: number
  readonly schemaVersion: RecordVersion
  /** Whether the engines of the pool reject orders with an outdated fencing token. */
  readonly isFencingEnforced?: boolean
}

/** Specification of a service. */
export interface ServiceSpec {
  readonly name: string
  readonly pool: string
  readonly schemaVersion: RecordVersion
  /** Model run by the service; absent for plain services. */
  readonly runs?: ModelReference
  readonly priority: Priority
  readonly idempotent: boolean
  readonly delivery: Delivery
  readonly deadlineMs: number
}

/** Specification of a workspace. */
export interface WorkspaceSpec {
  readonly name: string
  readonly weight: number
  readonly schemaVersion: RecordVersion
}

/** Specification of a deployment. */
export interface DeploymentSpec {
  readonly region: string
  readonly availabilityZones: readonly string[]
  readonly pools: readonly PoolSpec[]
  readonly services: readonly ServiceSpec[]
  readonly workspaces: readonly WorkspaceSpec[]
}

/** Name of a predefined deployment. */
export type DeploymentName = 'spas' | 'garages'

const SPAS: DeploymentSpec = {
  region: 'central',
  availabilityZones: ['central-a', 'central-b', 'central-c'],
  pools: [
    { name: 'assistant', kind: 'engine', targets: 10, schemaVersion: 2, isFencingEnforced: true },
    { name: 'billing', kind: 'plain', targets: 3, schemaVersion: 2 }
  ],
  services: [
    {
      name: 'package-assistant',
      pool: 'assistant',
      schemaVersion: 2,
      runs: { model: 'package-routing', version: '1' },
      priority: 'normal',
      idempotent: true,
      delivery: 'whole',
      deadlineMs: 120_000
    },
    {
      name: 'scheduling-billing',
      pool: 'billing',
      schemaVersion: 2,
      priority: 'high',
      idempotent: false,
      delivery: 'whole',
      deadlineMs: 30_000
    }
  ],
  workspaces: listWorkspaces('spa', [8, 6, 4, 1, 1, 1, 1, 1, 1, 1])
}

const GARAGES: DeploymentSpec = {
  region: 'sicily',
  availabilityZones: ['palermo', 'catania', 'messina'],
  pools: [
    { name: 'leases', kind: 'engine', targets: 6, schemaVersion: 2 },
    { name: 'barriers', kind: 'plain', targets: 3, schemaVersion: 1 }
  ],
  services: [
    {
      name: 'lease-assistant',
      pool: 'leases',
      schemaVersion: 2,
      runs: { model: 'lease-drafting', version: '1' },
      priority: 'normal',
      idempotent: true,
      delivery: 'stream',
      deadlineMs: 120_000
    },
    {
      name: 'gate',
      pool: 'barriers',
      schemaVersion: 1,
      priority: 'high',
      idempotent: false,
      delivery: 'whole',
      deadlineMs: 10_000
    }
  ],
  workspaces: listWorkspaces('garage', [6, 5, 1, 1, 1, 1, 1, 1, 1, 1])
}

/** Specifications of the predefined deployments. */
export const DEPLOYMENT_SPECS: Readonly<Record<DeploymentName, DeploymentSpec>> = { spas: SPAS, garages: GARAGES }

/** Returns one workspace for each weight. The last two have records of schema version 1. */
function listWorkspaces (prefix: string, weights: readonly number[]): WorkspaceSpec[] {
  return weights.map((weight, index) => ({
    name: `${prefix}-${index + 1}`,
    weight,
    schemaVersion: index < weights.length - 2 ? 2 : 1
  }))
}
