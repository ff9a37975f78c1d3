import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type RelayRoute } from '../../src/model/RelayConfiguration.js'
import { type RelayTarget } from '../../src/model/RelayTarget.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

interface Engine {
  readonly script: ScriptedAnswer
  readonly softwareVersion?: string
  /** Number of other requests at the engine. */
  readonly running?: number
}

interface Options {
  readonly route?: Partial<RelayRoute>
  /** Actions at clock readings in milliseconds. */
  readonly actions?: ReadonlyArray<readonly [number, (dependencies: TestDependencies) => void]>
}

interface Outcome {
  readonly targets: readonly string[]
  readonly end: string
  /** Time until the last answer ended, in milliseconds. */
  readonly endedAtMs: number
  readonly dependencies: TestDependencies
}

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const CUT: ScriptedAnswer = { steps: [createEvent(1), 100, { error: 'lost' }] }
const REST: ScriptedAnswer = { steps: [createEvent(2), 'END'] }
const LONG: ScriptedAnswer = { steps: [createEvent(1), 300, createEvent(2), 3000, 'END'] }
const FULL = 4

/** Runs a resumable stream that begins at engine a, which is the least used one. */
async function doTest (engines: Record<string, Engine>, { route: change, actions = [] }: Options = {}): Promise<Outcome> {
  const dependencies = createTestDependencies()
  const { table, client, loads, clock } = dependencies
  for (const [name, { script, softwareVersion }] of Object.entries(engines)) {
    table.updateTarget(createEngine(name, { softwareVersion }))
    client.scripts.set(name, [script])
  }
  loads.updatePeer('peer', new Map(Object.entries(engines).map(([name, { running = 0 }]) => [name, { running, tokens: 0 }])))
  client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 0 })
  const route = createRoute({ kind: 'stream', isResumable: true, maxAttempts: 3, timeoutMs: 6000, objectiveMs: 1000, maxGapMs: 1000, ...change })
  const { context, sink } = createContext(route, ENGINES, { size: { promptTokens: 100, maxOutputTokens: 40 } })
  for (const [atMs, action] of actions) clock.startTimer(atMs, () => action(dependencies))
  let endedAtMs = Infinity
  const running = runRelayedStream(dependencies, context).then(() => { endedAtMs = clock.nowMs() })
  await clock.advance(8000)
  await running
  return { targets: client.listTargets(), end: sink.describe(), endedAtMs, dependencies }
}

function createEngine (name: string, change: Partial<RelayTarget>): RelayTarget {
  return createTarget(name, { service: ENGINES.name, ...change })
}

const update = (name: string, change: Partial<RelayTarget>) => ({ table }: TestDependencies): void => { table.updateTarget(createEngine(name, change)) }

describe('a stream that has begun', () => {
  it('is never repeated at an engine of another version', async () => {
    const { targets } = await doTest({ a: { script: CUT, softwareVersion: 'v1' }, b: { script: REST, softwareVersion: 'v1.1', running: 1 }, c: { script: REST, softwareVersion: 'v1', running: 2 } })
    expect(targets).toEqual(['a', 'c'])
  })

  it('is never repeated at an engine that names no version when its own names one', async () => {
    const { targets, end } = await doTest({ a: { script: CUT, softwareVersion: 'v1' }, b: { script: REST, running: 1 } })
    expect([targets, end]).toEqual([['a'], expect.stringContaining('brokenOff')])
  })

  it('goes on among engines that name no version', async () => {
    expect((await doTest({ a: { script: CUT }, b: { script: REST, running: 1 } })).targets).toEqual(['a', 'b'])
  })

  it('ends at once when no engine of its version is left', async () => {
    const { end, endedAtMs } = await doTest({ a: { script: CUT, softwareVersion: 'v1' }, b: { script: REST, softwareVersion: 'v1.1', running: 1 } })
    expect([end, endedAtMs]).toEqual([expect.stringContaining('brokenOff'), 100])
  })

  it('ends at once when the last engine of its version leaves while it waits for room', async () => {
    const { end, endedAtMs } = await doTest({ a: { script: CUT, softwareVersion: 'v1' }, b: { script: REST, softwareVersion: 'v1', running: FULL } }, {
      actions: [[200, ({ table, placer }) => { table.updateTarget(createEngine('b', { softwareVersion: 'v1', phase: 'leaving' })); placer.notifyCapacity() }]]
    })
    expect([end, endedAtMs]).toEqual([expect.stringContaining('brokenOff'), 200])
  })

  it('is never moved to an engine of another version', async () => {
    const { targets, dependencies } = await doTest({ a: { script: LONG, softwareVersion: 'v1' }, b: { script: REST, softwareVersion: 'v1.1', running: 1 }, c: { script: { steps: [createEvent(3), 'END'] }, softwareVersion: 'v1', running: 2 } }, {
      actions: [[200, update('a', { softwareVersion: 'v1', phase: 'leaving' })]]
    })
    expect([targets, dependencies.client.copies.map(({ to }) => to.name)]).toEqual([['a', 'c'], ['c', 'c']])
  })

  it('does not go on at a source that was replaced by another version under its name', async () => {
    const unnamed = { startedAtMs: 0 }
    const { targets } = await doTest({ a: { script: LONG, softwareVersion: 'v1' }, b: { script: { afterMs: 100, error: 'notExecuted' }, softwareVersion: 'v1', running: 1 } }, {
      route: { isResumable: false },
      actions: [[50, update('a', { ...unnamed, softwareVersion: 'v1' })], [200, update('a', { ...unnamed, softwareVersion: 'v1', phase: 'leaving' })], [250, update('a', { ...unnamed, softwareVersion: 'v1.1' })]]
    })
    expect(targets).toEqual(['a', 'b'])
  })
})

describe('a target that is replaced by another version under its name and address while a request is on its way', () => {
  const replaced: ReadonlyArray<readonly [number, (dependencies: TestDependencies) => void]> = [[150, update('b', { softwareVersion: 'v1.1', startedAtMs: 2 })]]

  it('does not go on with a stream', async () => {
    const { targets, end } = await doTest({ a: { script: CUT, softwareVersion: 'v1' }, b: { script: { steps: [200, createEvent(2), 'END'] }, softwareVersion: 'v1', running: 1 } }, { actions: replaced })
    expect([targets, end]).toEqual([['a', 'b'], expect.stringContaining('brokenOff')])
    expect(end).not.toContain('d2')
  })

  it('goes on with it when the entry names the same version', async () => {
    const { end } = await doTest({ a: { script: CUT, softwareVersion: 'v1' }, b: { script: { steps: [200, createEvent(2), 'END'] }, softwareVersion: 'v1', running: 1 } }, { actions: [[150, update('b', { softwareVersion: 'v1', startedAtMs: 2 })]] })
    expect(end).toContain('complete')
  })
})

describe('a stream that has not begun', () => {
  it('is repeated at an engine of any version', async () => {
    const { targets } = await doTest({ a: { script: { afterMs: 100, error: 'lost' }, softwareVersion: 'v1' }, b: { script: REST, softwareVersion: 'v1.1', running: 1 } })
    expect(targets).toEqual(['a', 'b'])
  })

  it('is never copied to an engine of another version', async () => {
    const { dependencies } = await doTest({ a: { script: { afterMs: 900 }, softwareVersion: 'v1' }, b: { script: REST, softwareVersion: 'v1.1', running: 1 } }, { actions: [[200, update('a', { softwareVersion: 'v1', phase: 'leaving' })]] })
    expect(dependencies.client.copies).toEqual([])
  })
})
