import { describe, expect, it } from 'vitest'
import { measureScenario, type ScenarioMeasurement } from '../../src/measure/measureScenario.js'

async function doTest (scenario: string, seed: number, policies: readonly string[]): Promise<ScenarioMeasurement> {
  return await measureScenario({ scenario, seed, policies, phases: { warmUpMs: 500, measuredMs: 2500, drainMs: 2000 } })
}

describe('measureScenario', () => {
  it('returns the same measurement for the same seed', async () => {
    expect(await doTest('steady-95', 1, ['default'])).toEqual(await doTest('steady-95', 1, ['default']))
  })

  it('offers the same number of requests to all policies', async () => {
    const { rows } = await doTest('mixed', 2, ['default', 'random'])
    expect(new Set(rows.map(({ offered }) => offered)).size).toBe(1)
  })

  it('returns a different measurement for a different seed', async () => {
    const first = await doTest('steady-60', 1, ['leastInFlight'])
    const second = await doTest('steady-60', 2, ['leastInFlight'])
    expect(first.rows[0]).not.toEqual(second.rows[0])
  })

  it('rejects an unknown scenario', async () => {
    await expect(doTest('missing', 1, ['default'])).rejects.toThrow('unknown scenario missing')
  })
})
