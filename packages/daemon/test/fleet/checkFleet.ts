import { type CallerReport } from './SimulatedCaller.js'
import { type SimulatedFleet } from './SimulatedFleet.js'

/** Maximum time for which a leaving target may still receive new work, in milliseconds. */
const MAX_LEAVING_DELAY_MS = 3000

/** Lists every guarantee that a run violated. */
export function checkFleet (fleet: SimulatedFleet): string[] {
  return [
    ...fleet.reports.flatMap(checkDelivery),
    ...checkNotRun(fleet),
    ...checkCalls(fleet),
    ...checkLeaving(fleet),
    ...checkDrain(fleet),
    ...checkRevisions(fleet)
  ]
}

function checkDelivery (report: CallerReport): string[] {
  const faults = report.faults.map(fault => `${report.id}: ${fault}`)
  if (report.generations.size > 1) faults.push(`${report.id}: tokens of ${report.generations.size} generations`)
  const generation = [...report.generations][0]
  report.tokens.forEach((token, offset) => {
    if (token !== `${generation ?? ''}:${offset}`) faults.push(`${report.id}: ${token} at offset ${offset}`)
  })
  if (report.final?.outcome === 'complete' && report.body.prompt !== undefined && report.tokens.length !== Number(report.body.prompt)) {
    faults.push(`${report.id}: complete with ${report.tokens.length} of ${report.body.prompt} tokens`)
  }
  return faults
}

/** Checks that a request with the outcome `notRun` never ran, neither before nor after that outcome. */
function checkNotRun (fleet: SimulatedFleet): string[] {
  const executedCalls = new Set(listCalls(fleet).map(({ request }) => request))
  const engines = [...fleet.deployment.engines.values()]
  const generationsWithTokens = new Set(engines.flatMap(engine => engine.listGenerations()).filter(({ tokens }) => tokens > 0).map(({ id }) => id))
  return fleet.reports
    .filter(({ ends }) => ends.some(end => end.outcome === 'notRun'))
    .flatMap(({ id, ends, announced }) => {
      const others = ends.filter(end => end.outcome === 'complete' || end.outcome === 'failed')
      const faults = others.map(end => `${id}: notRun and ${end.outcome}`)
      if ([...announced].some(generation => generationsWithTokens.has(generation))) faults.push(`${id}: generated tokens although notRun`)
      return executedCalls.has(id) ? [...faults, `${id}: ran although notRun`] : faults
    })
}

function checkCalls (fleet: SimulatedFleet): string[] {
  const bodies = listCalls(fleet).map(({ body }) => String(body))
  return bodies.filter((body, index) => bodies.indexOf(body) !== index).map(body => `call ${body} ran twice`)
}

function checkLeaving (fleet: SimulatedFleet): string[] {
  return [...fleet.leavingSinceMs].flatMap(([target, leavingSinceMs]) => {
    const engineLateMs = fleet.deployment.engines.get(target)?.getCounts().lastArrivalAfterLeavingMs ?? 0
    const calls = fleet.deployment.plainServices.get(target)?.listCalls() ?? []
    const callLateMs = Math.max(0, ...calls.map(({ receivedAtMs }) => receivedAtMs - leavingSinceMs))
    const lateMs = Math.max(engineLateMs, callLateMs)
    return lateMs > MAX_LEAVING_DELAY_MS ? [`${target} received work ${lateMs} ms after it began to leave`] : []
  })
}

/** Checks that no drained instance stopped while a call was still running. */
function checkDrain (fleet: SimulatedFleet): string[] {
  return fleet.history
    .filter(instance => instance.isDrained)
    .flatMap(instance => instance.components.requests.listRunning().filter(entry => entry.options.service.kind === 'call'))
    .map(entry => `${entry.options.id}: interrupted by a drain`)
}

function checkRevisions (fleet: SimulatedFleet): string[] {
  const expectedRevision = fleet.deployment.configuration.getRevision()
  const reverted = fleet.history
    .filter(({ revisions }) => revisions.some((revision, index) => index > 0 && revision <= (revisions[index - 1] ?? 0)))
    .map(({ options, revisions }) => `${options.name} reverted to an older revision: ${revisions.join(' ')}`)
  const behind = fleet.listRunning()
    .filter(({ components }) => components.configuration.getRevision() !== expectedRevision)
    .map(({ options, components }) => `${options.name} has revision ${components.configuration.getRevision()} of ${expectedRevision}`)
  return [...reverted, ...behind]
}

function listCalls (fleet: SimulatedFleet): Array<{ readonly request: string, readonly body: unknown }> {
  return [...fleet.deployment.plainServices.values()].flatMap(service => [...service.listCalls()])
}
