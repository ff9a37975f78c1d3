import { type CallerReport } from './SimulatedCaller.js'
import { type SimulatedFleet } from './SimulatedFleet.js'

/** Time after which a leaving target gets no new work, in milliseconds. */
const LEAVING_MS = 3000

/** Lists every promise that a run has broken. */
export function checkFleet (fleet: SimulatedFleet): string[] {
  return [
    ...fleet.reports.flatMap(checkDelivery),
    ...checkRefused(fleet),
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

/** A request that was told `notRun` must not have run, before or after. */
function checkRefused (fleet: SimulatedFleet): string[] {
  const ran = new Set(listCalls(fleet).map(({ request }) => request))
  const engines = [...fleet.deployment.engines.values()]
  const generated = new Set(engines.flatMap(engine => engine.listGenerations()).filter(({ tokens }) => tokens > 0).map(({ id }) => id))
  return fleet.reports
    .filter(({ ends }) => ends.some(end => end.outcome === 'notRun'))
    .flatMap(({ id, ends, announced }) => {
      const others = ends.filter(end => end.outcome === 'complete' || end.outcome === 'failed')
      const faults = others.map(end => `${id}: notRun and ${end.outcome}`)
      if ([...announced].some(generation => generated.has(generation))) faults.push(`${id}: generated tokens although notRun`)
      return ran.has(id) ? [...faults, `${id}: ran although notRun`] : faults
    })
}

function checkCalls (fleet: SimulatedFleet): string[] {
  const bodies = listCalls(fleet).map(({ body }) => String(body))
  return bodies.filter((body, index) => bodies.indexOf(body) !== index).map(body => `call ${body} ran twice`)
}

function checkLeaving (fleet: SimulatedFleet): string[] {
  return [...fleet.leftMs].flatMap(([target, leftMs]) => {
    const engineLateMs = fleet.deployment.engines.get(target)?.getCounts().lastArrivalAfterLeavingMs ?? 0
    const calls = fleet.deployment.plainServices.get(target)?.listCalls() ?? []
    const callLateMs = Math.max(0, ...calls.map(({ receivedMs }) => receivedMs - leftMs))
    const lateMs = Math.max(engineLateMs, callLateMs)
    return lateMs > LEAVING_MS ? [`${target} got work ${lateMs} ms after it began to leave`] : []
  })
}

/** A drained instance must not have ended a request with a loss, unless targets or links failed. */
function checkDrain (fleet: SimulatedFleet): string[] {
  return fleet.history
    .filter(instance => instance.isDrained)
    .flatMap(instance => instance.parts.requests.listRunning().filter(entry => entry.options.service.kind === 'call'))
    .map(entry => `${entry.options.id}: cut by a drain`)
}

function checkRevisions (fleet: SimulatedFleet): string[] {
  const wanted = fleet.deployment.configuration.getRevision()
  const reverted = fleet.history
    .filter(({ revisions }) => revisions.some((revision, index) => index > 0 && revision <= (revisions[index - 1] ?? 0)))
    .map(({ options, revisions }) => `${options.name} reverted: ${revisions.join(' ')}`)
  const behind = fleet.listRunning()
    .filter(({ parts }) => parts.configuration.getRevision() !== wanted)
    .map(({ options, parts }) => `${options.name} has revision ${parts.configuration.getRevision()} of ${wanted}`)
  return [...reverted, ...behind]
}

function listCalls (fleet: SimulatedFleet): Array<{ readonly request: string, readonly body: unknown }> {
  return [...fleet.deployment.plainServices.values()].flatMap(service => [...service.listCalls()])
}
