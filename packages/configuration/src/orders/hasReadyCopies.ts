import { formatModelKey, type ModelReference, type Service, type Snapshot } from '@fescuespoke/common'
import { type TargetState } from '@fescuespoke/schema'
import { listModels, rankTargets } from './computePlacement.js'
import { type OrderClient } from './OrderClient.js'

/** Maximum number of targets that are polled for each service. */
const MAX_POLLED_TARGETS = 16

/** Options of the check for ready copies. */
export interface ReadyCopiesOptions {
  readonly client: OrderClient
  readonly snapshot: Snapshot
  readonly liveTargets: ReadonlySet<string>
}

/**
 * Returns whether each service that a target belongs to has enough ready copies of its models. At least one target and
 * at least half of the targets that should have the models must report them as ready when polled now.
 * @param target - Name of the target.
 * @param options - Options of the check.
 */
export async function hasReadyCopies (target: string, options: ReadyCopiesOptions): Promise<boolean> {
  const services = [...options.snapshot.services.values()].filter(service => service.runs !== undefined && service.targets.includes(target))
  const checks = await Promise.all(services.map(async service => await isServiceReady(service, options)))
  return checks.every(Boolean)
}

async function isServiceReady (service: Service, { client, snapshot, liveTargets }: ReadyCopiesOptions): Promise<boolean> {
  const names = rankTargets(service, liveTargets).slice(0, MAX_POLLED_TARGETS)
  const targets = names.flatMap(name => snapshot.targets.get(name) ?? [])
  const reports = await Promise.all(targets.map(async target => await client.fetchState(target)))
  const models = listModels(service)
  const ready = reports.filter(report => report.isOk && isReadyFor(report.value, models)).length
  return ready >= Math.max(1, Math.ceil(targets.length / 2))
}

function isReadyFor ({ state, models }: TargetState, required: readonly ModelReference[]): boolean {
  if (state !== 'active') return false
  if (models === undefined) return true
  const ready = new Set(models.filter(model => model.state === 'ready').map(formatModelKey))
  return required.every(model => ready.has(formatModelKey(model)))
}
