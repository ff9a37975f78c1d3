import { describe, expect, it } from 'vitest'
import { type TargetReachability } from '../../src/targets/RelayTargetClient.js'
import { createRequest, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'

const target = createTarget('a')

/** Breaks off two runs at an engine, lets something happen, and describes the crashes that are observed. */
async function doTest (reachability: TargetReachability, act: (dependencies: TestDependencies) => void = () => undefined, prepare: (dependencies: TestDependencies) => void = () => undefined): Promise<string[]> {
  const dependencies = createTestDependencies()
  const { clock, client, table, evidence, crashes } = dependencies
  client.reachability.set('a', reachability)
  table.updateTarget(target)
  prepare(dependencies)
  await clock.advance(100)
  for (const id of ['q1', 'q2']) crashes.watchRuns({ request: createRequest({ id, sharedParts: ['c', id] }) }).endRun(target, 'lost', true)
  await clock.advance(500)
  act(dependencies)
  await clock.advance(10_000)
  return evidence.listCrashes().map(({ target: name, startedAtMs, atMs, suspects }) => `${name} ${startedAtMs} at ${atMs}: ${suspects.map(({ requestId, parts }) => `${requestId} ${parts.join('+')}`).join(', ')}`)
}

describe('CrashDetector', () => {
  it('observes a crash when the engine refuses a new connection', async () => {
    expect(await doTest('refusing')).toMatchInlineSnapshot(`
      [
        "a 1 at 100: q1 c+q1+=rM8E20ow240Q, q2 c+q2+=BWKqr-mjxtiZ",
      ]
    `)
  })

  it('observes none while the engine accepts connections, also when it leaves the store later', async () => {
    expect(await doTest('accepting', ({ table }) => table.handleRemoval('a'))).toEqual([])
  })

  it('observes a crash when the entry of an engine that gave no answer leaves the store soon', async () => {
    expect(await doTest('unknown', ({ table }) => table.handleRemoval('a'))).toMatchInlineSnapshot(`
      [
        "a 1 at 100: q1 c+q1+=rM8E20ow240Q, q2 c+q2+=BWKqr-mjxtiZ",
      ]
    `)
    expect(await doTest('unknown', ({ clock, table }) => { clock.startTimer(6000, () => table.handleRemoval('a')) })).toEqual([])
  })

  it('observes none when the engine was about to leave, had left, or says so afterwards', async () => {
    const leave = ({ table }: TestDependencies): void => { table.updateTarget({ ...target, phase: 'leaving' }) }
    expect([await doTest('refusing', undefined, leave), await doTest('refusing', undefined, ({ table }) => table.handleRemoval('a')), await doTest('unknown', leave)]).toEqual([[], [], []])
  })
})
