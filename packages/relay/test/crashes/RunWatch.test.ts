import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type RunWatch } from '../../src/crashes/RunWatch.js'
import { type AttemptError, type AttemptHead } from '../../src/targets/RelayTargetClient.js'
import { createRequest, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'

const target = createTarget('a')
const HEAD = Result.ok<AttemptHead, AttemptError>({ status: 200, headers: [], isSigned: true, isFramed: true, isEventStream: true })

/** Lets a run begin at 100 ms, and returns until when its part is cleared and how many crashes of its engine are observed. */
async function doTest (act: (watch: RunWatch, dependencies: TestDependencies) => Promise<void>, sharedParts: string[] | undefined = ['c']): Promise<[number | undefined, number]> {
  const dependencies = createTestDependencies()
  const { clock, client, table, evidence, crashes } = dependencies
  client.reachability.set('a', 'refusing')
  table.updateTarget(target)
  await clock.advance(100)
  const watch = crashes.watchRuns({ request: createRequest({ sharedParts }) })
  watch.startRun(Promise.resolve(HEAD))
  await act(watch, dependencies)
  await clock.advance(1000)
  return [evidence.getSoundAtMs('c'), evidence.listCrashes().length]
}

describe('RunWatch', () => {
  it('proves a run sound by events well after the first one', async () => {
    expect(await doTest(async (watch, { clock }) => {
      watch.recordEvents()
      await clock.advance(400)
      watch.recordEvents()
      watch.endRun(target, 'lost', true)
    })).toEqual([100, 0])
  })

  it('proves a run sound by a complete answer with events', async () => {
    expect(await doTest(async watch => {
      watch.recordEvents()
      watch.endRun(target, 'complete', false)
    })).toEqual([100, 0])
    expect(await doTest(async watch => watch.endRun(target, 'complete', false))).toEqual([undefined, 0])
  })

  it('counts a run against its parts that broke off before or shortly after its first event', async () => {
    expect(await doTest(async watch => watch.endRun(target, 'lost', true))).toEqual([undefined, 1])
    expect(await doTest(async (watch, { clock }) => {
      watch.recordEvents()
      await clock.advance(399)
      watch.recordEvents()
      watch.endRun(target, 'lost', true)
    })).toEqual([undefined, 1])
  })

  it('counts nothing against a run that ended in another way', async () => {
    expect(await doTest(async watch => watch.endRun(target, 'lost', false))).toEqual([undefined, 0])
    for (const end of ['notSent', 'notExecuted', 'notHere', 'aborted'] as const) expect(await doTest(async watch => watch.endRun(target, end, true))).toEqual([undefined, 0])
  })

  it('counts the loss of a run whose prompt has no shared parts', async () => {
    expect(await doTest(async watch => watch.endRun(target, 'lost', true), [])).toEqual([undefined, 1])
  })

  it('tells whether the answer of a run had begun', async () => {
    const begun: boolean[] = []
    for (const head of [Promise.resolve(HEAD), new Promise<never>(() => undefined)]) {
      await doTest(async (watch, { clock, evidence }) => {
        watch.startRun(head)
        await clock.advance(1)
        watch.endRun(target, 'lost', true)
        await clock.advance(1)
        begun.push(evidence.listCrashes()[0]!.suspects[0]!.hasBegun)
      })
    }
    expect(begun).toEqual([true, false])
  })

  it('begins anew at another engine', async () => {
    expect(await doTest(async (watch, { clock }) => {
      watch.recordEvents()
      await clock.advance(500)
      watch.startRun(Promise.resolve(HEAD))
      watch.recordEvents()
      watch.endRun(target, 'lost', true)
    })).toEqual([undefined, 1])
  })

  it('lets a request be repeated unless two crashes speak against its parts', async () => {
    const mayRepeat: boolean[] = []
    await doTest(async (watch, { evidence }) => {
      mayRepeat.push(await watch.mayRepeat())
      watch.endRun(target, 'lost', true)
      mayRepeat.push(await watch.mayRepeat())
      evidence.addCrash({ target: 'b', startedAtMs: 1, atMs: -500, suspects: [{ requestId: 'q2', parts: ['c'], hasBegun: true }] }, 'peer')
      mayRepeat.push(await watch.mayRepeat())
    })
    expect(mayRepeat).toEqual([true, true, false])
  })
})
