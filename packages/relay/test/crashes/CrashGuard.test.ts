import { describe, expect, it } from 'vitest'
import { computeFingerprint } from '../../src/crashes/computeFingerprint.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { type RelayRefusal } from '../../src/requests/RelayRequest.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const ROUTE = createRoute({ kind: 'stream', isResumable: true, maxAttempts: 2, timeoutMs: 6000, objectiveMs: 1500, services: [{ service: ENGINES.name, weight: 1 }] })
const ROUTES = RouteTable.create(createConfiguration([ROUTE]))
const SOUND: ScriptedAnswer = { steps: [10, 'id: 1\ndata: x\n\n', 'END'] }

interface Options {
  /** Number of crashes that peers have reported, 500 ms apart. */
  readonly crashes?: number
  readonly parts?: string[]
  readonly answers?: Readonly<Record<string, ScriptedAnswer>>
  /** Time from the last crash to the request, in milliseconds. */
  readonly afterMs?: number
  readonly act?: (dependencies: TestDependencies) => void
  /** Called before the request is sent. */
  readonly prepare?: (dependencies: TestDependencies) => void
}

/** Reports crashes under part `bad`, sends a request, and returns what its caller gets and which engines it reached. */
async function doTest ({ crashes = 3, parts = ['c', 'bad'], answers = { a: SOUND, b: SOUND }, afterMs = 1000, act, prepare }: Options): Promise<[string, string[], { refusal?: RelayRefusal, endedAtMs?: number }]> {
  const dependencies = createTestDependencies()
  const { clock, client, table, evidence } = dependencies
  const service = RelayService.create({ dependencies, getRoutes: () => ROUTES, getPauseMs: () => 0, isViewStale: () => false })
  for (const [name, answer] of Object.entries(answers)) {
    client.scripts.set(name, [answer])
    client.reachability.set(name, 'refusing')
    table.updateTarget(createTarget(name, { service: ENGINES.name, slots: 4 }))
  }
  evidence.recordSoundRun(['c'], 0)
  for (let index = 0; index < crashes; index++) reportCrash(dependencies, index)
  prepare?.(dependencies)
  await clock.advance(1000 + afterMs)
  const sink = FakeSink.create()
  let endedAtMs: number | undefined
  service.serve(createRequest({ id: 'q', sharedParts: parts, receivedAtMs: clock.nowMs() }), sink).then(() => { endedAtMs = clock.nowMs() })
  act?.(dependencies)
  await clock.advance(5000)
  return [sink.describe(), client.listTargets(), { refusal: sink.refusal, endedAtMs }]
}

function reportCrash ({ evidence }: TestDependencies, index: number): void {
  evidence.addCrash({ target: `e${index}`, startedAtMs: 1, atMs: index * 500, suspects: [{ requestId: `q${index}`, parts: ['c', 'bad'], hasBegun: true }] }, 'peer')
}

describe('CrashGuard', () => {
  it('does not refuse requests whose path, caller and body are those of several that crash engines, and whose prompts are not', async () => {
    const [outcome] = await doTest({
      crashes: 0,
      parts: ['c', 'other'],
      prepare: ({ evidence }) => {
        for (const [index, part] of ['bad1', 'bad2', 'bad3'].entries()) {
          const parts = ['c', part]
          const fingerprint = computeFingerprint({ request: createRequest({ sharedParts: parts }) })
          evidence.addCrash({ target: `e${index}`, startedAtMs: 1, atMs: index * 500, suspects: [{ requestId: `q${index}`, parts: [...parts, fingerprint], hasBegun: true }] }, 'peer')
        }
      }
    })
    expect(outcome).toBe('200 "id: 1\\ndata: x\\n\\n" complete')
  })

  it('refuses requests with a blamed part at once, as not run, and tells the caller to return late', async () => {
    const [outcome, targets, { refusal }] = await doTest({})
    expect([outcome, targets, refusal?.retryAfterMs]).toEqual(['503 crashesEngines', [], 2000])
  })

  it('refuses no other request', async () => {
    const served = '200 "id: 1\\ndata: x\\n\\n" complete'
    expect([(await doTest({ parts: ['c'] }))[0], (await doTest({ parts: [] }))[0], (await doTest({ crashes: 2 }))[0]]).toEqual([served, served, served])
  })

  it('does not repeat a request that has crashed an engine once its part is suspected, and never says that it has not run', async () => {
    const crashed: ScriptedAnswer = { steps: [10] }
    const crash = ({ client, clock }: TestDependencies): void => { clock.startTimer(100, () => client.attempts[0]!.attempt.breakOff()) }
    expect((await doTest({ crashes: 0, answers: { a: crashed, b: crashed }, act: crash })).slice(0, 2).flat().length).toBe(3)
    expect((await doTest({ crashes: 1, answers: { a: crashed, b: crashed }, act: crash })).slice(0, 2).flat()).toEqual(['502 lost', 'a'])
  })

  it('refuses a request at once whose part comes to be blamed while it waits for an engine', async () => {
    const [outcome, targets, { endedAtMs }] = await doTest({
      crashes: 2,
      answers: {},
      act: dependencies => {
        dependencies.clock.startTimer(100, () => reportCrash(dependencies, 2))
        dependencies.clock.startTimer(700, () => dependencies.table.updateTarget(createTarget('d', { service: ENGINES.name })))
      }
    })
    expect([outcome, targets]).toEqual(['503 crashesEngines', []])
    expect(endedAtMs).toBeLessThanOrEqual(2150)
  })

  it('lets a request try later, whose sound run clears the part', async () => {
    const [outcome, targets] = await doTest({ afterMs: 30_000 })
    expect([outcome.startsWith('200'), targets.length]).toEqual([true, 1])
  })
})
