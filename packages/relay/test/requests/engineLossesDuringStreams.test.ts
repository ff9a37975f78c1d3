import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createTarget, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'
import { createEvent, runSilentStream } from '../support/runSilentStream.js'

const WHOLE = `200 ${JSON.stringify([1, 2, 3, 4].map(createEvent).join(''))} complete`

const beginning: ScriptedAnswer = { steps: [createEvent(1), 60_000] }

function leave ({ table }: TestDependencies, name: string): void {
  table.updateTarget(createTarget(name, { service: ENGINES.name, phase: 'leaving' }))
}

/** Guards against started streams that are broken off with time left because runs were counted that do not count. */
describe('a started stream that may run at two engines', () => {
  it('goes on at a third one when it was moved to the second one, which is the same run, and that breaks off', async () => {
    const prepare = (dependencies: TestDependencies): void => {
      dependencies.client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 })
      dependencies.clock.startTimer(200, () => leave(dependencies, 'a'))
    }
    const { sink, dependencies } = await runSilentStream({ a: beginning, b: { steps: [createEvent(2), 100, { error: 'lost' }] }, c: { steps: [createEvent(3), createEvent(4), 'END'] } }, { prepare, route: { maxGapMs: 1000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b', 'c']])
  })

  it('goes on at a third one when the first two have left and ended', async () => {
    const prepare = (dependencies: TestDependencies): void => {
      const { clock, client } = dependencies
      for (const [index, name] of ['a', 'b'].entries()) {
        clock.startTimer(1000 * index + 200, () => leave(dependencies, name))
        clock.startTimer(1000 * index + 500, () => {
          client.reachability.set(name, 'refusing')
          client.attempts[index]!.attempt.breakOff()
        })
      }
    }
    const { sink, dependencies } = await runSilentStream({ a: beginning, b: { steps: [createEvent(2), 60_000] }, c: { steps: [createEvent(3), createEvent(4), 'END'] } }, { prepare, route: { maxGapMs: 1000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b', 'c']])
  })

  it('goes on at another one when the only one that it may run at refused to give it away, and has ended', async () => {
    const prepare = (dependencies: TestDependencies): void => {
      const { clock, client } = dependencies
      client.answerCopy = async ({ isLast }) => isLast ? Result.err({ reason: 'noRoom', handle: 'h' }) : Result.ok({ handle: 'h', producedEvents: 1 })
      clock.startTimer(200, () => leave(dependencies, 'a'))
      clock.startTimer(1000, () => {
        client.reachability.set('a', 'refusing')
        client.attempts.at(-1)!.attempt.breakOff()
      })
    }
    const { sink, dependencies } = await runSilentStream({ a: [beginning, { steps: [60_000] }, { steps: [createEvent(2), 60_000] }], b: { steps: [createEvent(3), createEvent(4), 'END'] } }, { prepare, route: { maxGapMs: 1000, maxAttempts: 1 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'a', 'a', 'b']])
  })

  it('is not sent to a third one while the first two still serve', async () => {
    const { dependencies } = await runSilentStream({ a: { steps: [createEvent(1), { error: 'lost' }] }, b: { steps: [createEvent(2), { error: 'lost' }] }, c: { steps: [createEvent(3), createEvent(4), 'END'] } })
    expect(dependencies.client.listTargets()).not.toContain('c')
  })
})

/** Guards against started streams that are broken off with time left because nothing was free when their engine was lost. */
describe('a started stream whose engine is lost late', () => {
  const late: ScriptedAnswer = { steps: [createEvent(1), 600, createEvent(2), 600, { error: 'lost' }] }
  const rest: ScriptedAnswer = { steps: [createEvent(3), createEvent(4), 'END'] }
  const setCrowd = ({ loads }: TestDependencies, running: number): void => loads.updatePeer('peer', new Map([['b', { running, tokens: 0 }]]))
  const useUpBudget = ({ budget }: TestDependencies): void => { while (budget.takeAttempt(ENGINES.name, 'move')); }

  it('waits until another one has capacity', async () => {
    const prepare = (dependencies: TestDependencies): void => {
      dependencies.clock.startTimer(1000, () => setCrowd(dependencies, 4))
      dependencies.clock.startTimer(5000, () => setCrowd(dependencies, 0))
    }
    const { sink, dependencies } = await runSilentStream({ a: late, b: rest }, { prepare, route: { maxGapMs: 1000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('waits until the engine that refused it has capacity again', async () => {
    let isFull = true
    const prepare = ({ client, clock }: TestDependencies): void => {
      client.answerHold = async ({ target }) => isFull && target.name === 'b' ? Result.err('full') : Result.ok('hold')
      clock.startTimer(5000, () => { isFull = false })
    }
    const { sink, dependencies } = await runSilentStream({ a: late, b: rest }, { prepare, holds: { answer: Result.ok('second'), afterMs: 5 }, route: { maxGapMs: 1000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('waits until the retry budget has an attempt again', async () => {
    const prepare = (dependencies: TestDependencies): void => { dependencies.clock.startTimer(1000, () => useUpBudget(dependencies)) }
    const { sink, dependencies } = await runSilentStream({ a: late, b: rest }, { prepare, route: { maxGapMs: 1000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('uses attempts that are kept for it from requests that have not started', async () => {
    const prepare = (dependencies: TestDependencies): void => { dependencies.clock.startTimer(1000, () => { while (dependencies.budget.takeAttempt(ENGINES.name, 'retry')); }) }
    const { sink, dependencies } = await runSilentStream({ a: late, b: rest }, { prepare, route: { maxGapMs: 1000, timeoutMs: 3000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([WHOLE, ['a', 'b']])
  })

  it('does not wait where no engine of its version is left', async () => {
    const { sink, dependencies } = await runSilentStream({ a: late }, { route: { maxGapMs: 1000 } })
    expect([sink.describe(), dependencies.client.listTargets()]).toEqual([`200 ${JSON.stringify(createEvent(1) + createEvent(2))} brokenOff`, ['a']])
  })
})
