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

/** Times that a call of each outcome may have run. */
const ALLOWED_RUNS: Readonly<Record<string, readonly number[]>> = {
  complete: [1],
  notRun: [0],
  unknown: [0, 1],
  failed: [],
  cancelled: []
}

/** Makes calls one after the other and describes those that ran more or less often than their outcome says. */
async function doTest (instances: number, exchangeFaults: readonly ExchangeFault[]): Promise<string[]> {
  const fleet = await FakeFleet.start({ instances, faults: exchangeFaults })
  const caller = Caller.create({ bootstrapUrls: fleet.urls, workspace: 'w', clock: TestClock.create(), random: SeededRandom.create(1) })
  const violations: string[] = []
  try {
    for (let call = 0; call < CALL_COUNT; call++) {
      const body = `call ${call}`
      const { outcome } = await caller.call({ service: 's', body }).wait()
      const runCount = fleet.runCounts.get(body) ?? 0
      if (ALLOWED_RUNS[outcome]?.includes(runCount) !== true) violations.push(`${body}: ${outcome}, but ran ${runCount} times`)
    }
  } finally {
    await caller.close()
    await fleet.stop()
  }
  return violations
}

describe('Calls under faults', () => {
  it('run at most once, and as often as their outcome says', async () => {
    await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 3 }), faults, async (instances, exchangeFaults) => {
      expect(await doTest(instances, exchangeFaults)).toEqual([])
    }), { seed: 31, numRuns: 120 })
  })
})
