import { describe, expect, it } from 'vitest'
import { measureMembership } from '../../src/slopes/measureMembership.js'

/** Budget for all control traffic of a node. */
const CONTROL_BYTES_PER_SECOND = 27_000

async function doTest (sizes: number[]): Promise<Array<{ readonly messages: number, readonly bytes: number }>> {
  const points = await measureMembership(sizes, 1)
  return points.map(({ messagesPerSecond, bytesPerSecond }) => ({ messages: messagesPerSecond, bytes: bytesPerSecond }))
}

describe('measureMembership', () => {
  it('measures the same cost per node in a fleet of twice the size, far below the budget', async () => {
    const [small, large] = await doTest([8, 16])
    expect(large).toEqual(small)
    expect(small?.bytes).toBeGreaterThan(0)
    expect(small?.bytes).toBeLessThan(CONTROL_BYTES_PER_SECOND / 10)
  })
})
