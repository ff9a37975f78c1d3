import { describe, expect, it } from 'vitest'
import { type RelayConfiguration, type RelayRoute } from '../../src/model/RelayConfiguration.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const WHOLE = createEvent(1) + createEvent(2)
const ANSWER_MS = 4000
const CHANGE_AT_MS = 600

const REQUESTS: Readonly<Record<string, Partial<RelayRoute>>> = {
  'a call that may be repeated': { kind: 'idempotent' },
  'a call that may run once': { kind: 'once' },
  'a stream': { kind: 'stream', services: [{ service: ENGINES.name, weight: 1 }] },
  'a stream that may be resumed': { kind: 'stream', services: [{ service: ENGINES.name, weight: 1 }], isResumable: true }
}

/** Creates the configuration that comes in force while a request on the given route is in progress. */
const CHANGES: Readonly<Record<string, (route: RelayRoute) => RelayConfiguration>> = {
  'removes its route': () => createConfiguration([], { version: 2 }),
  'removes its service': route => createConfiguration([route], { version: 2, services: new Map() }),
  'moves its route to another service': route => createConfiguration([{ ...route, services: [{ service: 'other', weight: 1 }] }], { version: 2 }),
  'shortens its time limit': route => createConfiguration([{ ...route, timeoutMs: 500 }], { version: 2 }),
  'allows no attempts': route => createConfiguration([{ ...route, maxAttempts: 0, isResumable: false }], { version: 2 }),
  'asks for a key': route => createConfiguration([{ ...route, isPublic: false }], { version: 2 }),
  'changes its kind': route => createConfiguration([{ ...route, kind: route.kind === 'stream' ? 'once' : 'stream' }], { version: 2 }),
  'changes the capacity of its engines': route => createConfiguration([route], { version: 2, services: new Map([[ENGINES.name, { ...ENGINES, engine: { ...ENGINES.engine!, slots: 1, memoryTokens: 10, canMove: false } }]]) })
}

/** Lets a configuration come in force in the course of a request; returns what its caller receives, and when it was sent. */
async function doTest (routeOptions: Partial<RelayRoute>, change: (typeof CHANGES)[string], prepare: (dependencies: TestDependencies) => void = () => undefined): Promise<{ received: string, sentAtMs: number | undefined }> {
  const dependencies = createTestDependencies()
  const { clock, table, client } = dependencies
  const route = createRoute({ timeoutMs: 20_000, objectiveMs: 2000, maxGapMs: 5000, ...routeOptions })
  for (const service of ['calls', ENGINES.name]) table.updateTarget(createTarget(`a-${service}`, { service }))
  for (const service of ['calls', ENGINES.name]) client.scripts.set(`a-${service}`, [{ steps: [createEvent(1), ANSWER_MS, createEvent(2), 'END'] }])
  prepare(dependencies)
  let routes = RouteTable.create(createConfiguration([route]))
  const service = RelayService.create({ dependencies, getRoutes: () => routes, getPauseMs: () => 0, isViewStale: () => false })
  const sink = FakeSink.create()
  clock.startTimer(CHANGE_AT_MS, () => { routes = RouteTable.create(change(route)) })
  service.serve(createRequest({ receivedAtMs: clock.nowMs(), size: { promptTokens: 1000, maxOutputTokens: 400 } }), sink)
  await clock.advance(30_000)
  return { received: sink.describe(), sentAtMs: client.attempts[0]?.atMs }
}

describe.each(Object.entries(REQUESTS))('%s', (_, route) => {
  it.each(Object.entries(CHANGES))('that is in progress is answered completely when a configuration %s', async (_, change) => {
    expect(await doTest(route, change)).toEqual({ received: `200 ${JSON.stringify(WHOLE)} complete`, sentAtMs: 0 })
  })
})

describe('a stream that waits for an engine', () => {
  /** Fills the engine for 800 ms. */
  const fill = ({ clock, loads }: TestDependencies): void => {
    const name = `a-${ENGINES.name}`
    for (const atMs of [0, 200, 400, 600, 800]) clock.startTimer(atMs, () => loads.updatePeer('peer', new Map([[name, atMs < 800 ? { running: 100, tokens: 1_000_000 } : { running: 0, tokens: 0 }]])))
    loads.updatePeer('peer', new Map([[name, { running: 100, tokens: 1_000_000 }]]))
  }

  it.each(Object.entries(CHANGES))('is answered completely when a configuration %s', async (_, change) => {
    const { received, sentAtMs } = await doTest(REQUESTS['a stream']!, change, fill)
    expect([received, sentAtMs! >= CHANGE_AT_MS]).toEqual([`200 ${JSON.stringify(WHOLE)} complete`, true])
  })
})
