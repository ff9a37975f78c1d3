import { describe, expect, it } from 'vitest'
import { type TargetUse } from '../../src/placement/TargetUse.js'
import { createTarget, createTools, ENGINES, type TestTools } from '../support/createTools.js'

interface Wait {
  readonly name: string
  readonly priority?: number
  readonly sinceMs?: number
  readonly maxWaitMs?: number
  readonly tokens?: number
  readonly leaveMs?: number
}

/** Fills the only engine, lets requests wait, frees it at 100 ms, and returns who got it in which order. */
async function doTest (waits: readonly Wait[], freeMs = 100): Promise<{ order: string[], refused: string[], tools: TestTools }> {
  const tools = createTools()
  tools.table.observeTarget(createTarget('a', { service: ENGINES.name }))
  const holders = Array.from({ length: 4 }, () => tools.placer.useTarget(createTarget('a', { service: ENGINES.name }), 1000))
  const order: string[] = []
  const refused: string[] = []
  for (const { name, priority = 1, sinceMs = 0, maxWaitMs = 1000, tokens = 1000, leaveMs } of waits) {
    const abort = new AbortController()
    if (leaveMs !== undefined) tools.clock.startTimer(leaveMs, () => abort.abort())
    const need = { service: ENGINES, tokens, excluded: new Set<string>() }
    tools.waitingRoom.takeTarget({ need, priority, sinceMs, maxWaitMs, signal: abort.signal }).then((use: TargetUse | undefined) => {
      if (use === undefined) refused.push(name)
      else order.push(name)
      tools.clock.startTimer(10, () => use?.release())
    })
  }
  tools.clock.startTimer(freeMs, () => holders[0]?.release())
  await tools.clock.advance(3000)
  return { order, refused, tools }
}

describe('WaitingRoom', () => {
  it('serves the highest rank first', async () => {
    expect((await doTest([{ name: 'low', priority: 2 }, { name: 'high', priority: 0 }])).order).toEqual(['high', 'low'])
  })

  it('serves the oldest of one rank first', async () => {
    expect((await doTest([{ name: 'new', sinceMs: 5 }, { name: 'old', sinceMs: 1 }])).order).toEqual(['old', 'new'])
  })

  it('does not let a small request pass a large one that waits before it', async () => {
    const { order } = await doTest([{ name: 'large', tokens: 6000, sinceMs: 1, maxWaitMs: 500 }, { name: 'small', tokens: 10, sinceMs: 2, maxWaitMs: 2000 }])
    expect(order).toEqual(['large', 'small'])
  })

  it('refuses what has waited as long as it may', async () => {
    expect((await doTest([{ name: 'short', maxWaitMs: 50 }])).refused).toEqual(['short'])
  })

  it('refuses at once what may not wait', async () => {
    expect((await doTest([{ name: 'none', maxWaitMs: 0 }])).refused).toEqual(['none'])
  })

  it('forgets one that has left', async () => {
    const { order, tools } = await doTest([{ name: 'left', leaveMs: 50 }, { name: 'stays', sinceMs: 9 }])
    expect(order).toEqual(['stays'])
    expect(tools.waitingRoom.countWaiting()).toBe(0)
  })
})
