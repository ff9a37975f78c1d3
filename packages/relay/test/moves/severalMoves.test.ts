import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type CopyOptions } from '../../src/targets/RelayTargetClient.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const createEvent = (id: number): string => `id: ${id}\ndata: d\n\n`

const begun: ScriptedAnswer = { steps: [createEvent(1), 60_000] }
const rest: ScriptedAnswer = { steps: [createEvent(2), 'END'] }

/** Answers a copy, or ends the stream of the run that is stopped for it. */
type CopyAnswer = (dependencies: TestDependencies, copy: CopyOptions) => ReturnType<TestDependencies['client']['answerCopy']>

/** Runs streams that may not be resumed at engine a, which leaves soon. */
async function doTest (scripts: Record<string, ScriptedAnswer[]>, answerCopy: CopyAnswer, { streams = 1, objectiveMs = 10_000 }: { readonly streams?: number, readonly objectiveMs?: number } = {}): Promise<{ sinks: FakeSink[], dependencies: TestDependencies }> {
  const dependencies = createTestDependencies()
  const { clock, client, table, loads } = dependencies
  table.updateTarget(createTarget('a', { service: ENGINES.name }))
  for (const [name, answers] of Object.entries(scripts)) client.scripts.set(name, answers)
  client.answerCopy = async copy => await answerCopy(dependencies, copy)
  const sinks = Array.from({ length: streams }, (_, index) => {
    const { context, sink } = createContext(createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs, maxGapMs: 10_000 }), ENGINES, { id: `q${index}`, size: { promptTokens: 1000, maxOutputTokens: 400 } })
    runRelayedStream(dependencies, context)
    return sink
  })
  await clock.advance(10)
  for (const name of ['b', 'c']) table.updateTarget(createTarget(name, { service: ENGINES.name }))
  loads.updatePeer('peer', new Map([['c', { running: 1, tokens: 0 }]]))
  clock.startTimer(200, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
  await clock.advance(5000)
  return { sinks, dependencies }
}

/** Guards against streams that are cut off when their engine ends, although it left them time to move. */
describe('streams whose engine leaves', () => {
  it('are moved while the answer to a copy of another one is lost', async () => {
    const copiedAtMs: number[] = []
    const { sinks } = await doTest({ a: [begun, begun], b: [rest], c: [rest] }, async ({ clock }, { requestId, isLast }) => {
      if (requestId === 'q0') return await new Promise(() => undefined)
      if (isLast) copiedAtMs.push(clock.nowMs())
      return Result.ok({ handle: 'h', producedEvents: 1 })
    }, { streams: 2 })
    expect(sinks.map(({ endState }) => endState)).toEqual([undefined, 'complete'])
    expect(copiedAtMs.every(atMs => atMs < 1500)).toBe(true)
  })

  it('are moved again when they went back because their destination refused them', async () => {
    let refusals = 0
    const { sinks, dependencies } = await doTest({ a: [begun, { steps: [60_000] }], b: [rest], c: [rest] }, async (_, { isLast }) => {
      if (isLast && refusals++ === 0) return Result.err({ reason: 'noRoom', handle: 'h' })
      return Result.ok({ handle: 'h', producedEvents: 1 })
    })
    expect([sinks[0]!.endState, dependencies.client.listTargets().slice(0, 2), refusals]).toEqual(['complete', ['a', 'a'], 2])
  })

  it('are not moved twice at a time when they fall silent while others are moved', async () => {
    const running = new Set<string>()
    let isCopiedTwice = false
    const { sinks } = await doTest({ a: [begun, begun], b: [rest], c: [rest] }, async ({ clock }, { requestId }) => {
      isCopiedTwice ||= running.has(requestId)
      running.add(requestId)
      await clock.sleep(50)
      running.delete(requestId)
      return Result.ok({ handle: 'h', producedEvents: 1 })
    }, { streams: 2, objectiveMs: 200 })
    expect([sinks.map(({ endState }) => endState), isCopiedTwice]).toEqual([['complete', 'complete'], false])
  })
})
