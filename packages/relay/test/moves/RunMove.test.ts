import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type MovableRun } from '../../src/moves/MovableRun.js'
import { RunMove } from '../../src/moves/RunMove.js'
import { createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'

interface Outcome {
  readonly result: string
  /** Engines to which copies were requested, in order. */
  readonly destinations: readonly string[]
}

/** Moves a run off engine a, while engine b is full as far as this instance knows and engine c is full indeed. */
async function doTest (mayAskEngines: boolean): Promise<Outcome> {
  const dependencies = createTestDependencies()
  const { clock, table, loads, client } = dependencies
  const [source] = ['a', 'b', 'c'].map(name => createTarget(name, { service: ENGINES.name }))
  for (const name of ['a', 'b', 'c']) table.updateTarget(createTarget(name, { service: ENGINES.name }))
  loads.updatePeer('peer', new Map([['b', { running: 4, tokens: 9900, heldTokens: 9900 }], ['c', { running: 4, tokens: 9000, heldTokens: 9000 }]]))
  client.answerCopy = async ({ to }) => to.name === 'b' ? Result.ok({ handle: 'h', producedEvents: 1 }) : Result.err({ reason: 'noRoom' })
  let isMoved = false
  const run: MovableRun = {
    requestId: 'q',
    service: ENGINES,
    getExpectedTokens: () => 800,
    getHeldTokens: () => 500,
    hasStarted: () => true,
    getCompletionValue: () => 1,
    getTarget: () => source,
    isContinuing: () => isMoved,
    isClosed: () => isMoved,
    recordStopRequest: () => {},
    continueAt: () => { isMoved = true }
  }
  const move = RunMove.create({ ...dependencies, mayAskEngines: () => mayAskEngines }, { run, source: source!, noticeAtMs: 0 })
  const result = move.run()
  await clock.advance(4000)
  return { result: await result, destinations: [...new Set(client.copies.map(({ to }) => to.name))] }
}

describe('a run whose engine leaves while no other one has room as far as is known', () => {
  it('is not lost when an engine has room after all', async () => {
    expect(await doTest(true)).toEqual({ result: 'moved', destinations: ['c', 'b'] })
  })

  it('stays where this instance knows all loads', async () => {
    expect(await doTest(false)).toEqual({ result: 'noDestination', destinations: [] })
  })
})
