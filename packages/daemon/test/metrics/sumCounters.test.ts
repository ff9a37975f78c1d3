import { MetricsRegistry, VirtualClock } from '@fescuespoke/common'
import { expect, it } from 'vitest'
import { sumCounters } from '../../src/metrics/sumCounters.js'

it('sums counters over their labels and omits gauges', () => {
  const metrics = MetricsRegistry.create({ clock: VirtualClock.create(), readUsage: () => ({ processorMs: 1, heapBytes: 1, residentBytes: 1 }) })
  metrics.getCounter('outcomes', { service: 's', workspace: 'v', outcome: 'complete' }).add(2)
  metrics.getCounter('outcomes', { service: 's', workspace: 'w', outcome: 'failed' }).add()
  expect(sumCounters(metrics.getReading())).toEqual({ outcomes: 3 })
})
