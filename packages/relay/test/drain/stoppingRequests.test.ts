import { describe, expect, it } from 'vitest'
import { RouteTable } from '../../src/model/RouteTable.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const GRACE_MS = 8000
const LONG_MS = 60_000
const EVENT = 'id: 1\ndata: d1\n\n'

interface Options {
  readonly script: ScriptedAnswer
  /** Changes the state while the request is served. */
  readonly disturb: (dependencies: TestDependencies, service: RelayService, sink: FakeSink) => void
  /** Whether the only engine is full at first. */
  readonly isFull?: boolean
  readonly hasRoutes?: boolean
}

/** Serves one stream while the instance stops; returns what the caller got and to which targets the request was sent. */
async function doTest ({ script, disturb, isFull = false, hasRoutes = true }: Options): Promise<string> {
  const dependencies = createTestDependencies({ graceMs: GRACE_MS })
  const { clock, table, client, placer } = dependencies
  table.updateTarget(createTarget('a', { service: ENGINES.name }))
  client.scripts.set('a', [script])
  const routes = RouteTable.create(createConfiguration([createRoute({ kind: 'stream', timeoutMs: LONG_MS, objectiveMs: 6000, services: [{ service: ENGINES.name, weight: 1 }] })]))
  const service = RelayService.create({ dependencies, getRoutes: () => hasRoutes ? routes : undefined, getPauseMs: () => 0, isViewStale: () => false })
  const others = isFull ? Array.from({ length: ENGINES.engine!.slots }, () => placer.reserveTarget(table.getTracked('a')!.target, 2500)) : []
  clock.startTimer(4000, () => others.forEach(other => other.release()))
  const sink = FakeSink.create()
  disturb(dependencies, service, sink)
  let answeredAtMs: number | undefined
  const serving = service.serve(createRequest({ remainingMs: LONG_MS, size: { promptTokens: 10, maxOutputTokens: 500, expectedOutputTokens: 4 } }), sink)
  serving.then(() => { answeredAtMs = Math.round(clock.nowMs()) })
  await clock.advance(30_000)
  return `${sink.describe()} at ${answeredAtMs}; sent to ${client.listTargets().join() || 'none'}`
}

/** Guards against LOST: requests that an instance had read before or during its stop were cut off or passed on too late to end in time. */
describe('a request at a stopping instance', () => {
  it('is refused when it has waited for an engine until it no longer ends in time', async () => {
    expect(await doTest({ script: { steps: [EVENT, 'END'] }, isFull: true, disturb: ({ clock, drain }) => { clock.startTimer(100, () => drain.start()) } })).toBe('503 stopping at 1500; sent to none')
  })

  it('is refused as not run at the end when it still waits for an engine', async () => {
    expect(await doTest({ script: {}, isFull: true, disturb: ({ clock }, service) => { clock.startTimer(100, () => service.stop()) } })).toBe('503 stopping at 100; sent to none')
  })

  it('is refused as not run at the end when it still waits for a configuration', async () => {
    expect(await doTest({ script: {}, hasRoutes: false, disturb: ({ clock }, service) => { clock.startTimer(100, () => service.stop()) } })).toBe('503 stopping at 100; sent to none')
  })

  it('is answered at the end, as possibly run, when its target has not answered', async () => {
    expect(await doTest({ script: { afterMs: LONG_MS }, disturb: ({ clock }, service) => { clock.startTimer(100, () => service.stop()) } })).toBe('502 lost at 100; sent to a')
  })

  it('is complete at the end when its caller reads the rest of the answer late, and is broken off when it reads too late', async () => {
    const script = { steps: [EVENT, 200, 'END'] } satisfies ScriptedAnswer
    const stopAt = (atMs: number): Options['disturb'] => ({ clock }, service, sink) => {
      clock.startTimer(100, () => {
        sink.isBlocked = true
        service.stopExceptSlowReaders()
      })
      clock.startTimer(atMs, () => service.stop())
    }
    expect([await doTest({ script, disturb: stopAt(300) }), await doTest({ script, disturb: stopAt(150) })]).toMatchInlineSnapshot(`
      [
        "200 "id: 1\\ndata: d1\\n\\n" complete at 200; sent to a",
        "200 "id: 1\\ndata: d1\\n\\n" brokenOff at 150; sent to a",
      ]
    `)
  })

  it('is broken off at the end when its answer has begun', async () => {
    expect(await doTest({ script: { steps: [EVENT, LONG_MS, 'END'] }, disturb: ({ clock }, service) => { clock.startTimer(100, () => service.stop()) } })).toBe(`200 ${JSON.stringify(EVENT)} brokenOff at 100; sent to a`)
  })
})
