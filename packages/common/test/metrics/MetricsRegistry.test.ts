import { createValidator, type MetricsReading } from '@fescuespoke/schema'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MAX_HISTOGRAM_MS, HISTOGRAM_WINDOW_MS, type MetricName, MetricsRegistry, VirtualClock } from '../../src/index.js'

interface RegistryTest {
  readonly registry: MetricsRegistry
  readonly clock: VirtualClock
}

const PROCESS_METRICS = ['processorTime', 'heapBytes', 'residentBytes']

function createTest (): RegistryTest {
  const clock = VirtualClock.create()
  const readUsage = () => ({ processorMs: 5, heapBytes: 6, residentBytes: 7 })
  return { clock, registry: MetricsRegistry.create({ instance: 'i', clock, readUsage }) }
}

function doTest (name: MetricName, run: (test: RegistryTest) => void): unknown {
  const test = createTest()
  run(test)
  return test.registry.getReading().metrics.find(metric => metric.name === name)?.series
}

async function doTextTest (run: (test: RegistryTest) => void): Promise<string[]> {
  const test = createTest()
  run(test)
  const lines = (await test.registry.formatText()).split('\n')
  return lines.filter(line => line !== '' && !/(processor_time|heap|resident)/.test(line))
}

describe('MetricsRegistry', () => {
  it('adds amounts to the counter with the same labels', () => {
    expect(doTest('preemptions', ({ registry }) => {
      registry.getCounter('preemptions', { service: 's' }).add()
      registry.getCounter('preemptions', { service: 's' }).add(2)
    })).toMatchInlineSnapshot(`
      [
        {
          "labels": {
            "service": "s",
          },
          "value": 3,
        },
      ]
    `)
  })

  it('never decreases a counter', () => {
    expect(doTest('tokens', ({ registry }) => {
      registry.getCounter('tokens', { service: 's' }).add(3)
      registry.getCounter('tokens', { service: 's' }).add(-2)
    })).toMatchInlineSnapshot(`
      [
        {
          "labels": {
            "service": "s",
          },
          "value": 3,
        },
      ]
    `)
  })

  it('keeps the last value of a gauge', () => {
    expect(doTest('viewAge', ({ registry }) => {
      registry.getGauge('viewAge', { view: 'configuration' }).set(9)
      registry.getGauge('viewAge', { view: 'configuration' }).set(4)
    })).toMatchInlineSnapshot(`
      [
        {
          "labels": {
            "view": "configuration",
          },
          "value": 4,
        },
      ]
    `)
  })

  it('calls updaters before each reading', () => {
    expect(doTest('requestsQueued', ({ registry }) => {
      registry.addUpdater(() => registry.getGauge('requestsQueued', {}).set(11))
    })).toMatchInlineSnapshot(`
      [
        {
          "labels": {},
          "value": 11,
        },
      ]
    `)
  })

  it('reports processor time and memory usage', () => {
    const { metrics } = createTest().registry.getReading()
    const readings = metrics.filter(({ name }) => PROCESS_METRICS.includes(name)).map(({ name, series }) => `${name} ${series[0]?.value}`)
    expect(readings).toMatchInlineSnapshot(`
      [
        "processorTime 5",
        "heapBytes 6",
        "residentBytes 7",
      ]
    `)
  })

  it('computes quantiles of a histogram', () => {
    expect(doTest('firstToken', ({ registry }) => {
      const series = registry.getHistogram('firstToken', { service: 's' })
      for (let durationMs = 1; durationMs <= 100; durationMs++) series.record(durationMs)
    })).toMatchInlineSnapshot(`
      [
        {
          "count": 100,
          "labels": {
            "service": "s",
          },
          "recent": {
            "count": 100,
            "max": 100,
            "p50": 50,
            "p95": 95,
            "p99": 99,
            "p999": 100,
          },
          "sum": 5050,
        },
      ]
    `)
  })

  it('ignores invalid durations and limits long durations', () => {
    expect(doTest('firstToken', ({ registry }) => {
      const series = registry.getHistogram('firstToken', { service: 's' })
      for (const durationMs of [-1, Number.NaN, 2 * MAX_HISTOGRAM_MS]) series.record(durationMs)
    })).toMatchInlineSnapshot(`
      [
        {
          "count": 1,
          "labels": {
            "service": "s",
          },
          "recent": {
            "count": 1,
            "max": 3600000,
            "p50": 3600000,
            "p95": 3600000,
            "p99": 3600000,
            "p999": 3600000,
          },
          "sum": 7200000,
        },
      ]
    `)
  })

  it('computes quantiles over one to two windows, and count and sum since the start', () => {
    const { registry, clock } = createTest()
    const series = registry.getHistogram('queueWait', { service: 's' })
    const readings: string[] = []
    for (const durationMs of [10, 20, 30]) {
      series.record(durationMs)
      clock.jump(HISTOGRAM_WINDOW_MS)
      const { count, sum, recent } = series.getReading()
      readings.push(`${count} values, sum ${sum}, recent ${recent?.count} up to ${recent?.max}`)
    }
    clock.jump(2 * HISTOGRAM_WINDOW_MS)
    readings.push(`later ${series.getReading().recent?.count}`)
    expect(readings).toMatchInlineSnapshot(`
      [
        "1 values, sum 10, recent 1 up to 10",
        "2 values, sum 30, recent 1 up to 20",
        "3 values, sum 60, recent 1 up to 30",
        "later 0",
      ]
    `)
  })

  it('rotates the window of a fast series within 32 values', () => {
    const { registry, clock } = createTest()
    const series = registry.getHistogram('tokenInterval', { service: 's' })
    for (let value = 0; value < 1000; value++) series.record(10)
    clock.jump(HISTOGRAM_WINDOW_MS)
    for (let value = 0; value < 1000; value++) series.record(20)
    clock.jump(HISTOGRAM_WINDOW_MS)
    const { recent } = series.getReading()
    expect(recent?.count).toBeGreaterThanOrEqual(1000 - 32)
    expect(recent?.count).toBeLessThanOrEqual(1000)
    expect(recent?.p50).toBe(20)
  })

  it('reports an unknown age as -1', () => {
    expect(doTest('viewAge', ({ registry }) => {
      registry.getGauge('viewAge', { view: 'instanceList' }).set(Number.POSITIVE_INFINITY)
    })).toMatchInlineSnapshot(`
      [
        {
          "labels": {
            "view": "instanceList",
          },
          "value": -1,
        },
      ]
    `)
  })

  it('aggregates services beyond the limit under the label value "other"', () => {
    expect(doTest('preemptions', ({ registry }) => {
      for (let index = 0; index < 18; index++) registry.getCounter('preemptions', { service: `s${index}` }).add()
    })).toHaveLength(17)
  })

  it('keeps a separate series with the label value "other" for each outcome', () => {
    const { registry } = createTest()
    for (let index = 0; index < 600; index++) {
      registry.getCounter('outcomes', { service: 's', workspace: `w${index}`, outcome: index % 3 === 0 ? 'failed' : 'complete' }).add()
    }
    const others = registry.getReading().metrics.find(metric => metric.name === 'outcomes')?.series.slice(512)
    expect(others?.map(({ labels, value }) => `${Object.values(labels).join(' ')} ${value}`)).toMatchInlineSnapshot(`
      [
        "other other complete 59",
        "other other failed 29",
      ]
    `)
  })

  it('counts every value when the number of series is limited', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.string(), fc.string()), { maxLength: 2000 }), pairs => {
      const { registry } = createTest()
      for (const [service, workspace] of pairs) registry.getCounter('outcomes', { service, workspace, outcome: 'complete' }).add()
      const series = registry.getReading().metrics.find(metric => metric.name === 'outcomes')?.series ?? []
      expect(series.reduce((sum, { value = 0 }) => sum + value, 0)).toBe(pairs.length)
      expect(series.length).toBeLessThanOrEqual(513)
    }), { seed: 11, numRuns: 30 })
  })

  it('uses 18 KB per histogram and 1.3 MB for all histograms at their series limit', () => {
    const { registry } = createTest()
    const names = ['stallTime', 'tokenInterval', 'firstToken', 'queueWait'] as const
    const histograms = names.flatMap(name => Array.from({ length: 20 }, (_, index) =>
      registry.getHistogram(name, { service: `s${index}` })))
    const distinctHistograms = new Set(histograms)
    const total = [...distinctHistograms].reduce((sum, series) => sum + series.getFootprintBytes(), 0)
    expect({ series: distinctHistograms.size, each: histograms[0]?.getFootprintBytes(), total }).toMatchInlineSnapshot(`
      {
        "each": 18432,
        "series": 68,
        "total": 1253376,
      }
    `)
  })

  it('returns a reading that matches its schema', () => {
    const { registry } = createTest()
    registry.getHistogram('stallTime', { service: 's' }).record(1)
    registry.getCounter('outcomes', { service: 's', workspace: 'w', outcome: 'complete' }).add()
    expect(createValidator<MetricsReading>('operator', 'MetricsReading')(registry.getReading()).isOk).toBe(true)
  })

  it('formats counters and gauges as text and escapes labels', async () => {
    expect(await doTextTest(({ registry }) => {
      registry.getCounter('preemptions', { service: 'a "b"\n' }).add()
      registry.getGauge('requestsHeld', {}).set(3)
    })).toMatchInlineSnapshot(`
      [
        "# HELP fescuespoke_preemptions_total Generations that were preempted and lost their cache memory at an engine.",
        "# TYPE fescuespoke_preemptions_total counter",
        "fescuespoke_preemptions_total{service="a \\"b\\"\\n"} 1",
        "# HELP fescuespoke_requests_held Requests kept in memory, including ended requests.",
        "# TYPE fescuespoke_requests_held gauge",
        "fescuespoke_requests_held 3",
      ]
    `)
  })

  it('formats a histogram as a summary', async () => {
    expect(await doTextTest(({ registry }) => {
      registry.getHistogram('tokenInterval', { service: 's' }).record(43)
    })).toMatchInlineSnapshot(`
      [
        "# HELP fescuespoke_token_interval_milliseconds Time between consecutive tokens of one answer.",
        "# TYPE fescuespoke_token_interval_milliseconds summary",
        "fescuespoke_token_interval_milliseconds{service="s",quantile="0.5"} 43",
        "fescuespoke_token_interval_milliseconds{service="s",quantile="0.95"} 43",
        "fescuespoke_token_interval_milliseconds{service="s",quantile="0.99"} 43",
        "fescuespoke_token_interval_milliseconds{service="s",quantile="0.999"} 43",
        "fescuespoke_token_interval_milliseconds{service="s",quantile="1"} 43",
        "fescuespoke_token_interval_milliseconds_sum{service="s"} 43",
        "fescuespoke_token_interval_milliseconds_count{service="s"} 1",
      ]
    `)
  })
})
