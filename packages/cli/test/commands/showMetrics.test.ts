import { MetricsRegistry, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { doCliTest } from '../support/doCliTest.js'

async function doTest (...args: string[]): Promise<string> {
  const readUsage = () => ({ processorMs: 5.123, heapBytes: 6, residentBytes: 7 })
  const registry = MetricsRegistry.create({ instance: 'i1', clock: VirtualClock.create(), readUsage })
  registry.getCounter('outcomes', { service: 'gate', workspace: 'w', outcome: 'complete' }).add(3)
  registry.getHistogram('firstToken', { service: 'gate' }).record(25)
  const body = registry.getReading()
  return await doCliTest({ args: ['metrics', '--instance', '$0', ...args], prepare: ({ fakes }) => fakes[0]?.setResponses('/v1/metrics', body) })
}

describe('showMetrics', () => {
  it('shows metrics as tables', async () => {
    expect(await doTest()).toMatchInlineSnapshot(`
      "metric      labels        values  recent  p50 ms  p95 ms  p99 ms  p99.9 ms  max ms
      firstToken  service=gate  1       1       25      25      25      25        25

      metric         labels                                     value
      outcomes       service=gate workspace=w outcome=complete  3
      processorTime  -                                          5.12
      heapBytes      -                                          6
      residentBytes  -                                          7
      exit 0"
    `)
  })

  it('prints JSON', async () => {
    expect(JSON.parse((await doTest('--json')).replace(/\nexit 0$/, '')).metrics[0]).toMatchInlineSnapshot(`
      {
        "exposedName": "fescuespoke_outcomes_total",
        "help": "Requests that ended, by outcome.",
        "kind": "counter",
        "name": "outcomes",
        "series": [
          {
            "labels": {
              "outcome": "complete",
              "service": "gate",
              "workspace": "w",
            },
            "value": 3,
          },
        ],
      }
    `)
  })
})
