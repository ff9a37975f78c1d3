import { describe, expect, it } from 'vitest'
import { type RouteKind } from '../../src/model/RelayConfiguration.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { computeFingerprint } from '../../src/crashes/computeFingerprint.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

interface Options {
  readonly kind?: RouteKind
  /** Number of crashes with the call that peers have reported, 500 ms apart. */
  readonly reported?: number
  readonly answers?: Readonly<Record<string, ScriptedAnswer>>
  /** Target whose connection breaks, and when, in milliseconds after the call has come. */
  readonly broken?: Readonly<Record<string, number>>
  /** Maximum number of attempts of the route. */
  readonly maxAttempts?: number
}

interface Outcome {
  readonly answer: string
  readonly sent: string[]
  /** Time until the call was answered, in milliseconds. */
  readonly tookMs: number
  /** Number of known crashes with the call, and whether a crash implicates it. */
  readonly crashes: number
  readonly isImplicated: boolean
}

const WHOLE: ScriptedAnswer = { afterMs: 10, steps: ['x', 'END'] }
const SILENT: ScriptedAnswer = { afterMs: 100_000 }

/** Sends a call; connections break at targets that then answer no new connection within its time limit. */
async function doTest ({ kind = 'idempotent', reported = 0, answers = { a: SILENT, b: WHOLE }, broken = { a: 30 }, maxAttempts = 2 }: Options): Promise<Outcome> {
  const dependencies = createTestDependencies()
  const { clock, client, table, evidence, loads } = dependencies
  const names = Object.keys(answers)
  for (const name of names) {
    client.scripts.set(name, [answers[name]!])
    client.reachability.set(name, 'refusing')
    table.updateTarget(createTarget(name))
  }
  await clock.advance(10_000)
  loads.updatePeer('peer', new Map(names.map((name, index) => [name, { running: index, tokens: 0 }])))
  const request = createRequest({ id: 'q', receivedAtMs: clock.nowMs() })
  const fingerprint = computeFingerprint({ request })
  for (let index = 0; index < reported; index++) evidence.addCrash({ target: `e${index}`, startedAtMs: 1, atMs: 500 * index, suspects: [{ requestId: `q${index}`, parts: [fingerprint], hasBegun: false }] }, 'peer')
  const service = RelayService.create({ dependencies, getRoutes: () => RouteTable.create(createConfiguration([createRoute({ kind, maxAttempts })])), getPauseMs: () => 0, isViewStale: () => false })
  for (const [name, atMs] of Object.entries(broken)) clock.startTimer(atMs, () => client.attempts.find(({ target }) => target === name)?.attempt.breakOff())
  const sink = FakeSink.create()
  let tookMs = NaN
  const startedAtMs = clock.nowMs()
  service.serve(request, sink).then(() => { tookMs = clock.nowMs() - startedAtMs })
  await clock.advance(3000)
  return { answer: sink.describe(), sent: client.listTargets(), tookMs, crashes: evidence.listCrashes().length, isImplicated: evidence.isImplicated(fingerprint) }
}

describe('calls whose targets crash', () => {
  it.each(['notSent', 'notExecuted'] as const)('are sent to another target although they are suspected, when the first one did not run them: %s', async error => {
    const { answer, sent } = await doTest({ reported: 2, answers: { a: { error }, b: WHOLE }, broken: {} })
    expect([answer, sent]).toEqual(['200 "x" complete', ['a', 'b']])
  })

  it('are repeated at once after a first loss, which a whole answer then clears', async () => {
    expect(await doTest({})).toEqual({ answer: '200 "x" complete', sent: ['a', 'b'], tookMs: 40, crashes: 1, isImplicated: false })
  })

  it('are not repeated when a crash implicates them already', async () => {
    expect(await doTest({ reported: 1 })).toEqual({ answer: '502 lost', sent: ['a'], tookMs: 30, crashes: 2, isImplicated: true })
  })

  it('are not sent a third time after two losses', async () => {
    const answers = { a: SILENT, b: SILENT, c: WHOLE }
    expect(await doTest({ answers, broken: { a: 30, b: 60 }, maxAttempts: 3 })).toEqual({ answer: '502 lost', sent: ['a', 'b'], tookMs: 60, crashes: 2, isImplicated: true })
  })

  it('are not hedged when they are suspected', async () => {
    const answers = { a: { afterMs: 400, steps: ['x', 'END'] }, b: WHOLE }
    expect([(await doTest({ answers, broken: {} })).sent, (await doTest({ answers, broken: {}, reported: 2 })).sent]).toEqual([['a', 'b'], ['a']])
  })

  it.each(['idempotent', 'once'] as const)('are refused as not run once they are blamed (%s)', async kind => {
    expect(await doTest({ kind, reported: 3 })).toMatchObject({ answer: '503 crashesEngines', sent: [], tookMs: 0 })
  })

  it('count as crashes where they must not run again', async () => {
    expect(await doTest({ kind: 'once' })).toMatchObject({ answer: '502 lost', sent: ['a'], crashes: 1, isImplicated: true })
  })

  it('are no suspects when a target fails, does not run them or gives no answer in time', async () => {
    for (const answer of [{ status: 500, steps: ['no', 'END'] }, { error: 'notExecuted' }, { error: 'lost' }] satisfies ScriptedAnswer[]) {
      expect(await doTest({ answers: { a: answer, b: WHOLE }, broken: {} })).toMatchObject({ crashes: 0, isImplicated: false })
    }
  })

  it('count as crashes when a long answer breaks off while it is forwarded', async () => {
    const long: ScriptedAnswer = { steps: ['x'.repeat(300_000), 100_000, 'END'] }
    expect(await doTest({ answers: { a: long } })).toMatchObject({ crashes: 1, isImplicated: true })
  })
})
