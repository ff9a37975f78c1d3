import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { UrgentHeadroom } from '../../src/admission/UrgentHeadroom.js'
import { createTarget } from '../support/createTestDependencies.js'

const ENGINES = Array.from({ length: 30 }, (_, index) => createTarget(`e${index}`))

interface TestLoad {
  /** Number of urgent requests, one each 250 ms, of 2500 tokens each. */
  readonly urgent?: number
  readonly heldMs?: number
  readonly countInstances?: () => number
  /** Time after the last urgent request, in milliseconds. */
  readonly laterMs?: number
  readonly priority?: number
}

/** Returns the tokens that are kept free at each of 30 engines after a load of urgent requests. */
async function doTest ({ urgent = 40, heldMs = 300, countInstances = () => 60, laterMs = 0, priority = 2 }: TestLoad = {}): Promise<number[]> {
  const clock = VirtualClock.create()
  const headroom = UrgentHeadroom.create({ clock, countInstances })
  for (let count = 0; count < urgent; count++) {
    await clock.advance(250)
    headroom.recordArrival('s', 1, 2500)
    headroom.recordUse('s', 1, { tokens: 2500, heldMs })
  }
  await clock.advance(laterMs)
  const getTokens = headroom.findTokens('s', priority, () => ENGINES.map(({ name }) => name))
  return ENGINES.map(engine => getTokens?.(engine) ?? 0)
}

function sum (tokens: readonly number[]): number {
  return tokens.reduce((total, value) => total + value, 0)
}

describe('UrgentHeadroom', () => {
  it('keeps memory for whole urgent requests free at a share of the engines', async () => {
    const tokens = await doTest()
    expect(new Set(tokens)).toEqual(new Set([0, 2500]))
    expect(sum(tokens)).toBe(24 * 2500)
  })

  it('keeps no more free than urgent requests had on average, nor than arrives in a second', async () => {
    const usedTokens = (heldMs: number): number => 40 * 2500 * heldMs / 30_000 * 60
    expect(sum(await doTest({ heldMs: 100 }))).toBeLessThanOrEqual(usedTokens(100))
    expect(sum(await doTest({ heldMs: 9000 }))).toBe(4 * 2500 * 60)
  })

  it('releases the memory when no urgent request came for ten seconds', async () => {
    expect(sum(await doTest({ laterMs: 10_001 }))).toBe(0)
  })

  it('keeps nothing free from requests that are as urgent', async () => {
    expect(sum(await doTest({ priority: 1 }))).toBe(0)
  })

  it('keeps nothing free while the size of the fleet is not known', async () => {
    expect(sum(await doTest({ countInstances: () => Infinity }))).toBe(0)
  })
})
