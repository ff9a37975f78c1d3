import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const TIMEOUT_MS = 20_000

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

const FIRST_EVENT_THEN_LOST: ScriptedAnswer = { steps: [createEvent(1), { error: 'lost' }] }
const REFUSED: ScriptedAnswer = { error: 'notExecuted' }
const REST: ScriptedAnswer = { steps: [createEvent(2), 'END'] }

/** Plays a resumable stream whose first engine breaks off after one event, and returns how its answer ended and the number of sends. */
async function doTest (answersByEngine: Readonly<Record<string, ScriptedAnswer[]>>): Promise<{ end: string | undefined, sent: number }> {
  const { clock, client, loads, table, ...others } = createTestDependencies({ extra: 100 })
  const dependencies = { clock, client, loads, table, ...others }
  for (const [name, answers] of Object.entries(answersByEngine)) {
    table.updateTarget(createTarget(name, { service: ENGINES.name }))
    client.scripts.set(name, answers)
  }
  client.answerCopy = async () => Result.err({ reason: 'unreachable' })
  // The engines are used in the order of their names.
  loads.updatePeer('peer', new Map(Object.keys(answersByEngine).map((name, index) => [name, { running: index, tokens: 0 }])))
  const route = createRoute({ kind: 'stream', maxAttempts: 2, isResumable: true, timeoutMs: TIMEOUT_MS, objectiveMs: 1000, maxGapMs: 100 })
  const { context, sink, endController } = createContext(route, ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  clock.startTimer(TIMEOUT_MS, () => endController.abort())
  const running = runRelayedStream(dependencies, context)
  await clock.advance(TIMEOUT_MS + 1000)
  await running

  return { end: sink.endState, sent: client.attempts.length }
}

describe('a started stream with time left', () => {
  it('is not broken off because several engines refuse the rest of it', async () => {
    const refusedTwice = [REFUSED, REFUSED, REST]
    expect(await doTest({ a: [FIRST_EVENT_THEN_LOST], b: refusedTwice, c: [...refusedTwice], d: [...refusedTwice] })).toEqual({ end: 'complete', sent: 8 })
  })

  it('asks the only other engine again after it has refused once', async () => {
    expect(await doTest({ a: [FIRST_EVENT_THEN_LOST], b: [REFUSED, REST] })).toEqual({ end: 'complete', sent: 3 })
  })
})
