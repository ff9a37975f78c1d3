import { createLogger, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it, vi } from 'vitest'
import { DecisionLog } from '../../src/logs/DecisionLog.js'

const MAX_LINES_PER_SECOND = 2

/** Number of lines of each kind, far above the quota, and time until the next second, in milliseconds. */
const LINE_COUNT = 40
const NEXT_SECOND_MS = 1001

/** Records lines with a log, and returns what was written: the level, the message, and the id of the request or what was left out. */
async function doTest (record: (log: DecisionLog, clock: VirtualClock) => void | Promise<void>): Promise<string[]> {
  const clock = VirtualClock.create()
  const logger = createLogger({ instance: 'i', level: 'silent' })
  const lines: string[] = []
  for (const level of ['info', 'warn'] as const) {
    vi.spyOn(logger, level).mockImplementation(((fields: { readonly request?: string }, message: string) => lines.push(`${level} ${message} ${fields.request ?? JSON.stringify(fields)}`)) as never)
  }
  await record(DecisionLog.create({ logger, clock, maxLinesPerSecond: MAX_LINES_PER_SECOND }), clock)
  return lines
}

function recordSuccesses (log: DecisionLog): void {
  for (let index = 0; index < LINE_COUNT; index++) log.recordDecision(`s${index}`, 'sent')
}

function recordFailures (log: DecisionLog): void {
  for (let index = 0; index < LINE_COUNT; index++) log.recordDecision(`f${index}`, index % 2 === 0 ? 'broken off' : 'not repeated', {}, 'failure')
}

/** Guards against lost requests without a line: their lines were dropped as readily as those of successes. */
describe(DecisionLog.name, () => {
  it('writes the line of a failure when the quota is used up by successes', async () => {
    const lines = await doTest(log => {
      recordSuccesses(log)
      log.recordDecision('f', 'broken off', {}, 'failure')
    })
    expect(lines).toMatchInlineSnapshot(`
      [
        "info sent s0",
        "info sent s1",
        "info sent s3",
        "info sent s30",
        "warn broken off f",
      ]
    `)
  })

  it('writes the lines of successes when the quota is used up by failures', async () => {
    const lines = await doTest(log => {
      recordFailures(log)
      log.recordDecision('s', 'sent')
    })
    expect(lines.at(-1)).toMatchInlineSnapshot('"info sent s"')
  })

  it('names failures beyond the quota in the line about lines left out', async () => {
    const lines = await doTest(async (log, clock) => {
      recordSuccesses(log)
      recordFailures(log)
      await clock.advance(NEXT_SECOND_MS)
      log.recordDecision('next', 'sent')
    })
    expect(lines.slice(-2)).toMatchInlineSnapshot(`
      [
        "warn lines left out {"dropped":73,"failures":{"broken off":18,"not repeated":19},"requests":["f2","f3","f4","f5","f7","f8","f9","f10","f11","f12","f13","f14","f15","f16","f17","f18","f19","f20","f21","f22"]}",
        "info sent next",
      ]
    `)
  })

  it('says without a further request that lines were left out, once the second is over', async () => {
    const lines = await doTest(async (log, clock) => {
      recordSuccesses(log)
      log.runMaintenance()
      await clock.advance(NEXT_SECOND_MS)
      log.runMaintenance()
      log.runMaintenance()
    })
    expect(lines.filter(line => line.includes('lines left out'))).toMatchInlineSnapshot(`
      [
        "warn lines left out {"dropped":36}",
      ]
    `)
  })

  it('says at its end that lines were left out', async () => {
    const lines = await doTest(log => {
      recordSuccesses(log)
      log.recordLeftOut()
    })
    expect(lines.at(-1)).toMatchInlineSnapshot('"warn lines left out {"dropped":36}"')
  })
})
