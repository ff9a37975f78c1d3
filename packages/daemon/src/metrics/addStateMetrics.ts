import { type InstanceComponents } from '../instance/createComponents.js'

/**
 * Adds the gauges of an instance's state, which are updated before each reading.
 * @param components - Components of the instance.
 */
export function addStateMetrics (components: InstanceComponents): void {
  const { metrics, configuration, instanceList, scheduler, leases, peers } = components
  metrics.addUpdater(() => {
    metrics.getGauge('requestsHeld', {}).set(leases.listRequests().length)
    metrics.getGauge('requestsQueued', {}).set(scheduler.countQueued())
    metrics.getGauge('acceptedRevision', {}).set(configuration.getRevision())
    metrics.getGauge('refusedRecords', {}).set(configuration.listRefused().length)
    metrics.getGauge('viewAge', { view: 'configuration' }).set(configuration.getAgeMs())
    metrics.getGauge('viewAge', { view: 'instanceList' }).set(instanceList.getAgeMs())
    for (const state of ['alive', 'suspect', 'dead', 'leaving'] as const) {
      metrics.getGauge('members', { state }).set(peers.listMemberStatus().filter(member => member.state === state).length)
    }
  })
}
