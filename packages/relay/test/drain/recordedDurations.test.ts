import { describe, expect, it } from 'vitest'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { runRelayedCall } from '../../src/requests/runRelayedCall.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { createStreamOrigin } from '../../src/versions/StreamOrigin.js'
import { CALLS, createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const TIMEOUT_MS = 1000
const SIZE = { promptTokens: 10, maxOutputTokens: 1000, expectedOutputTokens: 100 }

interface Options {
  readonly route: RelayRoute
  readonly service: ServiceProfile
  readonly script: ScriptedAnswer
  readonly change?: Partial<RelayRequest>
}

/** Runs a number of requests one after the other at one target. */
async function runRequests (dependencies: TestDependencies, count: number, { route, service, script, change }: Options): Promise<void> {
  const { clock, table, client } = dependencies
  const target = createTarget('a', { service: service.name })
  table.updateTarget(target)
  client.scripts.set('a', [script])
  for (let index = 0; index < count; index++) {
    const { context, endController } = createContext(route, service, { receivedAtMs: clock.nowMs(), size: SIZE, ...change })
    clock.startTimer(TIMEOUT_MS, () => endController.abort())
    const run = route.kind === 'stream' ? runRelayedStream : runRelayedCall
    run(dependencies, { ...context, origin: change?.lastEventId === undefined ? undefined : createStreamOrigin(target), deadlineAtMs: clock.nowMs() + TIMEOUT_MS })
    await clock.advance(TIMEOUT_MS + 10)
  }
}

/** Guards against decisions of a stop that rest on wrong times, so that requests are sent that do not end. */
describe('the times that a stop is based on', () => {
  it('include calls whose time was over, which would have taken longer', async () => {
    const dependencies = createTestDependencies()
    await runRequests(dependencies, 20, { route: createRoute({ kind: 'once', timeoutMs: TIMEOUT_MS }), service: CALLS, script: { afterMs: 5000 } })
    expect(dependencies.durations.findCallMs(CALLS.name, 'once', 0.5)).toBe(TIMEOUT_MS)
  })

  it('begin when a stream is sent, not when it begins to wait for an engine', async () => {
    const dependencies = createTestDependencies()
    const { clock, placer, durations } = dependencies
    const route = createRoute({ kind: 'stream', timeoutMs: TIMEOUT_MS, objectiveMs: TIMEOUT_MS, services: [{ service: ENGINES.name, weight: 1 }] })
    const target = createTarget('a', { service: ENGINES.name })
    const others = Array.from({ length: ENGINES.engine!.slots }, () => placer.reserveTarget(target, 100))
    clock.startTimer(200, () => others.forEach(other => other.release()))
    await runRequests(dependencies, 20, { route, service: ENGINES, script: { afterMs: 100, steps: ['id: 1\ndata: x\n\n', 'END'] } })
    expect(durations.findFirstEventMs(ENGINES.name, { share: 0.99, speed: 1 })).toBe(100)
  })

  it('do not relate the rest of a resumed stream to its stated sizes', async () => {
    const dependencies = createTestDependencies()
    const route = createRoute({ kind: 'stream', timeoutMs: TIMEOUT_MS, isResumable: true, services: [{ service: ENGINES.name, weight: 1 }] })
    await runRequests(dependencies, 20, { route, service: ENGINES, script: { steps: ['id: 8\ndata: x\n\n', 'id: 9\ndata: x\n\n', 'END'] }, change: { lastEventId: '7' } })
    expect(dependencies.durations.estimateLikelyOutput(ENGINES.name, SIZE)).toBe(400)
  })
})
