import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { createTarget, createTestDependencies } from '../support/createTestDependencies.js'
import { sendCalls } from '../support/sendCalls.js'

const TARGETS = ['a', 'b', 'c', 'd']
const REQUESTS_PER_SECOND = 60
const DURATION_MS = 20_000
const ANSWER_MS = 57

/** Sends calls to targets of which the last one takes longer, and returns its share of the calls in the second half of the time. */
async function doTest (slowMs: number): Promise<number> {
  const clock = VirtualClock.create()
  const random = SeededRandom.create(5)
  const instance = createTestDependencies({ clock })
  for (const name of TARGETS) {
    instance.table.updateTarget(createTarget(name))
    instance.client.scripts.set(name, [{ steps: [name === 'd' ? slowMs : ANSWER_MS, 'END'] }])
  }
  const { refused } = await sendCalls({ clock, random, instances: [instance], requestsPerSecond: REQUESTS_PER_SECOND, endAtMs: DURATION_MS })
  expect(refused).toBe(0)
  const late = instance.client.attempts.filter(({ atMs }) => atMs > DURATION_MS / 2)
  return late.filter(({ target }) => target === 'd').length / late.length
}

describe('calls to targets of which one is slow', () => {
  it('reach the slow one less often than the others, and still reach it', async () => {
    const share = await doTest(2 * ANSWER_MS)
    expect(share).toBeLessThan(1 / 8)
    expect(share).toBeGreaterThan(0)
  })

  it('reach all equally while the difference is below the factor', async () => expect(await doTest(1.1 * ANSWER_MS)).toBeGreaterThan(1 / 5))
})
