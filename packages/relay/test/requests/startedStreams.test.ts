import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type RelayRoute } from '../../src/model/RelayConfiguration.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type FakeSink } from '../support/FakeSink.js'
import { type AnswerStep, type ScriptedAnswer } from '../support/FakeTargetClient.js'

type Action = (dependencies: TestDependencies, sink: FakeSink) => void

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

/** Runs one stream for a minute after the given action. */
async function doTest (scripts: Record<string, ScriptedAnswer[]>, prepare: Action, routeOptions: Partial<RelayRoute>): Promise<{ sink: FakeSink, dependencies: TestDependencies }> {
  const dependencies = createTestDependencies()
  for (const [name, answers] of Object.entries(scripts)) {
    dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name }))
    dependencies.client.scripts.set(name, answers)
  }
  dependencies.loads.updatePeer('peer', new Map(Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])))
  dependencies.client.answerCopy = async () => Result.err({ reason: 'unreachable' })
  const route = createRoute({ kind: 'stream', maxAttempts: 1, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...routeOptions })
  const { context, sink, endController } = createContext(route, ENGINES, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  dependencies.clock.startTimer(route.timeoutMs, () => endController.abort())
  prepare(dependencies, sink)
  runRelayedStream(dependencies, context)
  await dependencies.clock.advance(60_000)
  return { sink, dependencies }
}

/** Makes writes wait until the answer is aborted or the given time has passed, as a caller does that does not read. */
const stopReading = (durationMs: number): Action => ({ clock }, sink) => {
  const abort = sink.abort.bind(sink)
  const write = sink.writeBytes.bind(sink)
  let resume = (): void => {}
  sink.abort = () => {
    abort()
    resume()
  }
  sink.writeBytes = async bytes => {
    await write(bytes)
    await new Promise<void>(resolve => {
      resume = resolve
      clock.startTimer(durationMs, resolve)
    })
  }
}

describe('streams whose caller stops reading', () => {
  it('are broken off at their timeout', async () => {
    const { sink } = await doTest({ a: [{ steps: [createEvent(1), 100, createEvent(2), 30_000, 'END'] }] }, stopReading(1_000_000), { timeoutMs: 2000 })
    expect(sink.endState).toBe('brokenOff')
  })

  it('are not taken away from an engine that goes on', async () => {
    const events = [createEvent(1), createEvent(2), 'END']
    const { dependencies } = await doTest({ a: [{ steps: events }], b: [{ steps: events }] }, stopReading(2000), { isResumable: true, maxAttempts: 2 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })
})

describe('streams of which only bytes arrive that are no event with data', () => {
  /** Repeats steps that take 100 ms beyond the timeout of the route. */
  const repeat = (...steps: AnswerStep[]): AnswerStep[] => Array.from({ length: 300 }, () => steps).flat()
  const rest: ScriptedAnswer = { steps: [createEvent(2), 'END'] }

  const fillers: ReadonlyArray<[string, string]> = [
    ['bytes that complete no event', 'x'],
    ['comments', ': x\n\n'],
    ['fields without data', 'retry: 5\n\n'],
    ['a field whose name only begins like that of data', 'database: x\n\n'],
    ['empty lines', '\n\n']
  ]

  it.each(fillers)('go on at another engine if they may be resumed: %s', async (_, bytes) => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), ...repeat(100, bytes)] }], b: [rest] }, () => undefined, { isResumable: true, maxAttempts: 2 })
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
    expect(sink.text.replaceAll(bytes, '')).toBe((createEvent(1) + createEvent(2)).replaceAll(bytes, ''))
    expect(sink.endState).toBe('complete')
  })

  it.each(fillers)('are moved if they may not be resumed: %s', async (_, bytes) => {
    const copy: Action = ({ client }) => { client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 }) }
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), ...repeat(100, bytes)] }], b: [rest] }, copy, {})
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
    expect(sink.endState).toBe('complete')
  })

  it('are not held by an engine that sends nothing else, if they may be resumed', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: repeat(100, ': x\n\n') }], b: [{ steps: [createEvent(1), createEvent(2), 'END'] }] }, () => undefined, { isResumable: true, maxAttempts: 2 })
    expect(dependencies.client.listTargets()).toEqual(['a', 'b'])
    expect(sink.text.replaceAll(': x\n\n', '')).toBe(createEvent(1) + createEvent(2))
  })

  it('are not taken away from an engine whose events come in time between them', async () => {
    const events = [1, 2, 3, 4, 5, 6].flatMap(id => [createEvent(id), 300, ': x\n\n', 300, ': x\n\n'])
    const { sink, dependencies } = await doTest({ a: [{ steps: [...events, 'END'] }], b: [rest] }, () => undefined, { isResumable: true, maxAttempts: 2 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
    expect(sink.endState).toBe('complete')
  })

  it('are not taken away from an engine while the caller does not read', async () => {
    const { sink, dependencies } = await doTest({ a: [{ steps: [createEvent(1), ': x\n\n', 10, ': x\n\n', createEvent(2), 'END'] }], b: [rest] }, stopReading(2000), { isResumable: true, maxAttempts: 2 })
    expect(dependencies.client.listTargets()).toEqual(['a'])
    expect(sink.endState).toBe('complete')
  })
})

describe('continuations of streams that have started', () => {
  const route = { isResumable: true, maxAttempts: 2 }
  const interrupted: ScriptedAnswer = { steps: [createEvent(1), createEvent(2), { error: 'lost' }] }
  const received = JSON.stringify(createEvent(1) + createEvent(2))

  it('never look complete after a success whose body is not a series of events', async () => {
    const { sink } = await doTest({ a: [interrupted], b: [{ isEventStream: false, steps: ['{"state":"ok"}', 'END'] }] }, () => undefined, route)
    expect(sink.describe()).toBe(`200 ${received} brokenOff`)
  })

  it('never look complete after a success without content', async () => {
    const { sink } = await doTest({ a: [interrupted], b: [{ status: 204, isEventStream: false, steps: ['END'] }] }, () => undefined, route)
    expect(sink.describe()).toBe(`200 ${received} brokenOff`)
  })

  it('never follow a body that is not a series of events', async () => {
    const { sink, dependencies } = await doTest({ a: [{ isEventStream: false, steps: ['one\n\n', { error: 'lost' }] }], b: [{ isEventStream: false, steps: ['one\n\ntwo', 'END'] }] }, () => undefined, route)
    expect(sink.describe()).toBe('200 "one\\n\\n" brokenOff')
    expect(dependencies.client.listTargets()).toEqual(['a'])
  })

  it('never follow a body that is not a series of events after a move', async () => {
    const prepare: Action = ({ client, clock, table }) => {
      client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 })
      clock.startTimer(200, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
    }
    const { sink } = await doTest({ a: [{ isEventStream: false, steps: ['one\n\n', 5000, 'END'] }], b: [{ isEventStream: false, steps: ['one\n\ntwo', 'END'] }] }, prepare, {})
    expect(sink.describe()).toBe('200 "one\\n\\n" brokenOff')
  })

  it('never contain an event twice', async () => {
    const { sink } = await doTest({ a: [interrupted], b: [{ steps: [createEvent(1), createEvent(2), createEvent(3), 'END'] }] }, () => undefined, route)
    expect(sink.text.match(/id: 2\n/g)?.length).toBe(1)
  })

  it('ask for what follows the last event with an id', async () => {
    const { dependencies } = await doTest({ a: [{ steps: [createEvent(1) + createEvent(2) + ': note\n\n', { error: 'lost' }] }], b: [{ steps: [createEvent(3), 'END'] }] }, () => undefined, route)
    expect(dependencies.client.attempts[1]?.options.lastEventId).toBe('2')
  })
})

describe('streams whose move failed and that are moved again', () => {
  /** Moves a stream that stands still until its timeout, with copies that never stop it; returns the handles that were freed and what is still reserved. */
  async function moveAgain (createHandle: (to: string) => string): Promise<{ dropped: string[], destinations: string[], loads: unknown[] }> {
    const prepare: Action = ({ client }) => {
      client.answerCopy = async ({ isLast, to }) => isLast ? Result.err({ reason: 'unreachable' }) : Result.ok({ handle: createHandle(to.name), producedEvents: 1 })
    }
    const { dependencies } = await doTest({ a: [{ steps: [createEvent(1)] }], b: [], c: [] }, prepare, {})
    const { client, loads } = dependencies
    return { dropped: client.dropped, destinations: client.copies.filter(({ isLast }) => !isLast).map(({ to }) => to.name), loads: [...loads.listOwnLoads()] }
  }

  it('reserve nothing for an earlier copy, and free it', async () => {
    const { dropped, destinations, loads } = await moveAgain(to => `h-${to}`)
    expect(destinations.length).toBeGreaterThan(2)
    expect(loads).toEqual([])
    expect(new Set(dropped)).toEqual(new Set(destinations.map(to => `h-${to}`)))
  })

  it('do not free an earlier copy that the engine only completes', async () => {
    const { dropped, destinations, loads } = await moveAgain(() => 'h')
    expect(destinations.length).toBeGreaterThan(2)
    expect([dropped, loads]).toEqual([['h'], []])
  })
})

describe('moves', () => {
  const copy = ({ client }: TestDependencies): void => { client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 }) }
  const useUpBudget = ({ budget }: TestDependencies): void => { while (budget.takeAttempt(ENGINES.name, 'move')); }
  const silent: ScriptedAnswer = { steps: [createEvent(1), 3000, createEvent(2), 'END'] }

  it('stop no silent stream while the retry budget is empty', async () => {
    const prepare: Action = dependencies => {
      copy(dependencies)
      dependencies.clock.startTimer(500, () => useUpBudget(dependencies))
    }
    const { sink, dependencies } = await doTest({ a: [silent], b: [{ steps: [createEvent(2), 'END'] }] }, prepare, {})
    expect([sink.endState, dependencies.client.listTargets()]).toEqual(['complete', ['a']])
  })

  it('off an engine that leaves use up the retry budget, also beyond it', async () => {
    const left: boolean[] = []
    const prepare: Action = dependencies => {
      const { clock, table, budget } = dependencies
      copy(dependencies)
      clock.startTimer(500, () => {
        useUpBudget(dependencies)
        table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' }))
      })
      clock.startTimer(1500, () => {
        budget.returnAttempt(ENGINES.name)
        left.push(budget.takeAttempt(ENGINES.name, 'move'))
      })
    }
    const { sink } = await doTest({ a: [silent], b: [{ steps: [createEvent(2), 'END'] }] }, prepare, {})
    expect([sink.endState, left]).toEqual(['complete', [false]])
  })
})

describe('whole answers', () => {
  it('without a length are complete when a failed move has left a copy that can no longer be used', async () => {
    const prepare: Action = ({ client, clock, table }) => {
      client.answerCopy = async ({ isLast }) => isLast ? Result.err({ reason: 'unreachable' }) : Result.ok({ handle: 'h', producedEvents: 1 })
      clock.startTimer(200, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
    }
    const whole: ScriptedAnswer = { isFramed: false, steps: [createEvent(1), 300, createEvent(2), 'END'] }
    const { sink, dependencies } = await doTest({ a: [whole, { error: 'notExecuted' }], b: [{ error: 'notExecuted' }] }, prepare, { maxGapMs: 1000 })
    expect(dependencies.client.copies.some(({ isLast }) => isLast)).toBe(true)
    expect(sink.describe()).toBe(`200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`)
  })

  it('without a length are not held while there is no engine to which they could be moved', async () => {
    let endedAtMs: number | undefined
    const prepare: Action = ({ clock, table }, sink) => {
      const end = sink.end.bind(sink)
      sink.end = () => {
        endedAtMs = clock.nowMs()
        end()
      }
      clock.startTimer(200, () => table.updateTarget(createTarget('a', { service: ENGINES.name, phase: 'leaving' })))
    }
    await doTest({ a: [{ isFramed: false, steps: [createEvent(1), 300, createEvent(2), 'END'] }] }, prepare, { maxGapMs: 1000 })
    expect(endedAtMs).toBeLessThan(1000)
  })

  it('that are failures are forwarded whatever type of content they state', async () => {
    for (const status of [500, 404]) {
      const { sink } = await doTest({ a: [{ status, isEventStream: true, steps: ['failed', 'END'] }] }, () => undefined, {})
      expect(sink.describe()).toBe(`${status} "failed" complete`)
    }
  })

  it('are complete when empty lines follow their last event', async () => {
    const { sink } = await doTest({ a: [{ steps: [createEvent(1) + '\n', 'END'] }] }, () => undefined, {})
    expect(sink.endState).toBe('complete')
  })
})
