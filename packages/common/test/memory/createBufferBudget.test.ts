import { describe, expect, it } from 'vitest'
import { VirtualClock } from '../../src/clock/VirtualClock.js'
import { type Logger } from '../../src/logging/createLogger.js'
import { createBufferBudget } from '../../src/memory/createBufferBudget.js'
import { MetricsRegistry } from '../../src/metrics/index.js'

describe('createBufferBudget', () => {
  it('counts all that it ends, and does not log a line for each of a series', async () => {
    const clock = VirtualClock.create()
    const metrics = MetricsRegistry.create({ instance: 'a', clock })
    const lines: unknown[] = []
    const logger = { warn: (fields: unknown) => lines.push(fields) } as unknown as Logger
    const budget = createBufferBudget({ clock, logger, metrics, maxBytes: 10 })
    const exceed = (request: string): void => budget.openAccount({ kind: 'targetAnswer', request, peer: 'i-1', end: () => undefined }).setBytes(11)
    for (const request of ['r1', 'r2', 'r3']) exceed(request)
    await clock.advance(1000)
    exceed('r4')
    expect(lines).toEqual([
      { kind: 'targetAnswer', request: 'r1', peer: 'i-1', bytes: 11, count: 1 },
      { kind: 'targetAnswer', request: 'r4', peer: 'i-1', bytes: 11, count: 3 }
    ])
    expect((await metrics.formatText()).match(/^fescuespoke_ended_buffers_total.* (\d+)$/m)?.[1]).toBe('4')
  })
})
