import { BufferBudget } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { runRelayedCall } from '../../src/requests/runRelayedCall.js'
import { createContext, createRoute, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const MAX_BYTES = 4_000_000
const ANSWER_BYTES = 200_000
const CALL_COUNT = 100
const LONG_TIME_MS = 100_000

const LARGE_PART = 'x'.repeat(ANSWER_BYTES)

/** Starts a call at targets of its own, which answer its attempts in turn. */
function startCall (dependencies: TestDependencies, name: string, answers: readonly ScriptedAnswer[]): FakeSink {
  const remaining = [...answers]
  for (const target of answers.map((_, index) => `${name}-${index}`)) {
    dependencies.table.updateTarget(createTarget(target, { service: name, slots: 1000 }))
    dependencies.client.scripts.set(target, remaining)
  }
  const { context, sink, endController } = createContext(createRoute({ objectiveMs: LONG_TIME_MS, timeoutMs: LONG_TIME_MS }), { name }, { id: name })
  dependencies.clock.startTimer(LONG_TIME_MS, () => endController.abort())
  runRelayedCall(dependencies, context)
  return sink
}

function createDependencies (): TestDependencies {
  return createTestDependencies({ extra: 1000, bufferBudget: BufferBudget.create({ maxBytes: MAX_BYTES }) })
}

function startCalls (dependencies: TestDependencies, answers: readonly ScriptedAnswer[]): FakeSink[] {
  return Array.from({ length: CALL_COUNT }, (_, index) => startCall(dependencies, `large-${index}`, answers))
}

describe('answers of which a part is buffered', () => {
  it('do not fill the memory when many calls hold one each, and other calls are answered', async () => {
    const dependencies = createDependencies()
    const large = startCalls(dependencies, [{ steps: [LARGE_PART] }])
    const sound = startCall(dependencies, 'sound', [{ steps: ['a', 200, 'b', 'END'] }])
    await dependencies.clock.advance(1000)
    expect(large.filter(sink => sink.endState === undefined).length * ANSWER_BYTES).toBeLessThanOrEqual(MAX_BYTES)
    expect(new Set(large.filter(sink => sink.endState !== undefined).map(sink => sink.describe()))).toEqual(new Set(['502 lost']))
    expect(sound.describe()).toBe('200 "ab" complete')
  })

  it('go on at another target when they are dropped', async () => {
    const dependencies = createDependencies()
    const large = startCalls(dependencies, [{ steps: [LARGE_PART] }, { steps: ['a', 'END'] }])
    await dependencies.clock.advance(1000)
    const answered = large.filter(sink => sink.endState !== undefined)
    expect([answered.length >= CALL_COUNT - MAX_BYTES / ANSWER_BYTES, new Set(answered.map(sink => sink.describe()))]).toEqual([true, new Set(['200 "a" complete'])])
  })

  it('do not fill the memory when they are failures that are kept while another target is tried', async () => {
    const dependencies = createDependencies()
    const large = startCalls(dependencies, [{ status: 500, steps: [LARGE_PART, 'END'] }, { steps: ['a', 500, { error: 'lost' }] }])
    await dependencies.clock.advance(1000)
    const kept = large.filter(({ status }) => status === 500)
    expect(kept.length * ANSWER_BYTES).toBeLessThanOrEqual(MAX_BYTES)
    expect(kept.length).toBeGreaterThan(0)
    expect(new Set(large.filter(({ status }) => status !== 500).map(sink => sink.describe()))).toEqual(new Set(['502 lost']))
  })

  it('are not counted any more once their calls have ended', async () => {
    const dependencies = createDependencies()
    const answers: ScriptedAnswer[] = [{ status: 500, steps: [LARGE_PART, 'END'] }, { steps: [LARGE_PART] }]
    startCall(dependencies, 'open', answers)
    startCall(dependencies, 'answered', [answers[0]!, { steps: ['a', 'END'] }])
    startCall(dependencies, 'failed', [answers[0]!])
    await dependencies.clock.advance(2 * LONG_TIME_MS)
    expect(dependencies.bufferBudget.getUsedBytes()).toBe(0)
  })
})
