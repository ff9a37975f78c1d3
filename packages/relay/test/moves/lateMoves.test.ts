import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

/** Plays a stream whose engine leaves, where the first answer to a copy says after a delay that the run has not started; returns how it ended. */
async function doTest (answerDelayMs: number): Promise<string | undefined> {
  const dependencies = createTestDependencies({ extra: 100 })
  const { clock, client, loads, table } = dependencies
  for (const name of ['a', 'b']) table.updateTarget(createTarget(name, { service: ENGINES.name }))
  client.scripts.set('a', [{ steps: [createEvent(1), 2500, { error: 'lost' }] }])
  client.scripts.set('b', [{ steps: [createEvent(2), 'END'] }])
  loads.updatePeer('peer', new Map([['a', { running: 0, tokens: 0 }], ['b', { running: 1, tokens: 0 }]]))
  let copyCalls = 0
  client.answerCopy = async () => {
    if (++copyCalls > 1) return Result.ok({ handle: 'h', producedEvents: 0 })
    await clock.sleep(answerDelayMs)
    return Result.err({ reason: 'noRun' })
  }
  const { context, sink } = createContext(createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 5000, maxGapMs: 1000 }), ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  clock.startTimer(100, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
  const running = runRelayedStream(dependencies, context)
  await clock.advance(25_000)
  await running
  return sink.endState
}

describe('a run that its leaving engine had not started when it was first copied', () => {
  it.each([10, 600])('is copied again when the answer took %i ms', async answerDelayMs => {
    expect(await doTest(answerDelayMs)).toBe('complete')
  })
})
