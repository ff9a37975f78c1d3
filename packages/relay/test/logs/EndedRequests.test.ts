import { MetricsRegistry } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { RelayMetrics } from '../../src/logs/RelayMetrics.js'
import { type RelayOutcome } from '../../src/logs/RelayOutcome.js'

/** Number of requests with each outcome; more than the ids that are kept. */
const REQUEST_COUNT = 10

const OUTCOMES: readonly RelayOutcome[] = ['answered', 'callerLeft', 'brokenOff', 'stopped', 'lost', 'timeout', 'stopping', 'overloaded']

/** Guards against stops after which nobody can tell which requests were lost. */
describe('the requests that end during a stop', () => {
  it('are counted by outcome, with the ids of some that were cut', () => {
    const registry = MetricsRegistry.create()
    const metrics = RelayMetrics.create(registry)
    metrics.countOutcome('r', 'lost', 'before')
    metrics.endedRequests.start()
    for (const outcome of OUTCOMES) for (let index = 0; index < REQUEST_COUNT; index++) metrics.countOutcome('r', outcome, `${outcome}${index}`)
    expect(JSON.stringify(metrics.endedRequests.getSummary(), null, 1)).toMatchInlineSnapshot(`
      "{
       "cut": {
        "brokenOff": 10,
        "stopped": 10,
        "lost": 10,
        "timeout": 10
       },
       "requests": {
        "brokenOff": [
         "brokenOff0",
         "brokenOff1",
         "brokenOff2",
         "brokenOff3",
         "brokenOff4",
         "brokenOff5",
         "brokenOff6",
         "brokenOff7"
        ],
        "stopped": [
         "stopped0",
         "stopped1",
         "stopped2",
         "stopped3",
         "stopped4",
         "stopped5",
         "stopped6",
         "stopped7"
        ],
        "lost": [
         "lost0",
         "lost1",
         "lost2",
         "lost3",
         "lost4",
         "lost5",
         "lost6",
         "lost7"
        ],
        "timeout": [
         "timeout0",
         "timeout1",
         "timeout2",
         "timeout3",
         "timeout4",
         "timeout5",
         "timeout6",
         "timeout7"
        ]
       },
       "refused": 10
      }"
    `)
    expect(registry.getReading().metrics.find(({ name }) => name === 'cutRequests')?.series.map(({ labels, value }) => `${labels.outcome} ${value}`)).toMatchInlineSnapshot(`
      [
        "lost 11",
        "brokenOff 10",
        "stopped 10",
        "timeout 10",
      ]
    `)
  })
})
