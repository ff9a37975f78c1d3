import { describe, expect, it } from 'vitest'
import { measureScenario, type ScenarioMeasurement } from '../../src/measure/measureScenario.js'

async function doTest (scenario: string, seed: number, policies: readonly string[]): Promise<ScenarioMeasurement> {
  return await measureScenario({ scenario, seed, policies, phases: { warmUpMs: 500, measuredMs: 2500, drainMs: 2000 } })
}

describe('measureScenario', () => {
  it('gives the same rows for the same seed', async () => {
    expect(await doTest('steady-95', 1, ['default'])).toEqual(await doTest('steady-95', 1, ['default']))
  })

  it('offers the same requests to all policies', async () => {
    const { rows } = await doTest('mixed', 2, ['default', 'random'])
    expect(new Set(rows.map(({ offered }) => offered)).size).toBe(1)
  })

  it('offers other requests for another seed', async () => {
    const first = await doTest('steady-60', 1, ['leastInFlight'])
    const second = await doTest('steady-60', 2, ['leastInFlight'])
    expect(first.rows[0]).not.toEqual(second.rows[0])
  })

  it('refuses an unknown scenario', async () => {
    await expect(doTest('nothing', 1, ['default'])).rejects.toThrow('no scenario nothing')
  })
})
