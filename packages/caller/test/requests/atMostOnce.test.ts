import { SeededRandom } from '@fescuespoke/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Caller } from '../../src/index.js'
import { type ExchangeFault, FakeFleet } from '../support/FakeFleet.js'
import { TestClock } from '../support/TestClock.js'

const CALL_COUNT = 3

const faults = fc.array(fc.constantFrom<ExchangeFault>(
  'none', 'none', 'none', 'disconnectBefore', 'disconnectAfter', 'disconnectAfter', 'unavailable', 'queueFull', 'restartBefore', 'restartAfter', 'stopAfter'
), { maxLength: 24 })

/** Permitted numbers of runs of a call, by its outcome. */
const ALLOWED_RUN_COUNTS: Readonly<Record<string, readonly number[]>> = {
  complete: [1],
  notRun: [0],
  unknown: [0, 1],
  failed: [],
  cancelled: []
}

/**
 * Makes calls one after another and returns a description of each call whose number of runs contradicts its outcome.
 */
async function doTest (instances: number, exchangeFaults: readonly ExchangeFault[]): Promise<string[]> {
  const fleet = await FakeFleet.start({ instances, faults: exchangeFaults })
  const caller = Caller.create({ bootstrapUrls: fleet.urls, workspace: 'w', clock: TestClock.create(), random: SeededRandom.create(1) })
  const violations: string[] = []
  try {
    for (let call = 0; call < CALL_COUNT; call++) {
      const body = `call ${call}`
      const { outcome } = await caller.call({ service: 's', body }).wait()
      const runCount = fleet.runCounts.get(body) ?? 0
      if (ALLOWED_RUN_COUNTS[outcome]?.includes(runCount) !== true) violations.push(`${body}: ${outcome}, but ran ${runCount} times`)
    }
  } finally {
    await caller.close()
    await fleet.stop()
  }
  return violations
}

describe('Calls with injected faults', () => {
  it('run at most once, in agreement with their outcome', async () => {
    await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 3 }), faults, async (instances, exchangeFaults) => {
      expect(await doTest(instances, exchangeFaults)).toEqual([])
    }), { seed: 31, numRuns: 120 })
  })
})
