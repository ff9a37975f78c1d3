import { describe, expect, it } from 'vitest'
import { type ServiceProfile, type WeightedService } from '../../src/model/RelayConfiguration.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { type StreamOrigin } from '../../src/versions/StreamOrigin.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, ENGINES } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'

interface Options {
  /** Targets by name and their versions. */
  readonly targets: Readonly<Record<string, string>>
  /** Origin of the stream that the instance remembers. */
  readonly origin?: StreamOrigin
  readonly services?: readonly WeightedService[]
  readonly resumedId?: string
}

interface Outcome {
  readonly answer: string
  readonly sentTo: readonly string[]
  /** Time until the answer ended, in milliseconds. */
  readonly endedAtMs: number
  /** Version at which the stream is known to have begun after the answer. */
  readonly rememberedVersion?: string
}

const V1: StreamOrigin = { service: ENGINES.name, softwareVersion: 'v1' }
const OTHER: ServiceProfile = { ...ENGINES, name: 'other' }

/** Serves a request that resumes stream q after event 1; the target that is first in the list has no load. */
async function doTest ({ targets, origin, services = [{ service: ENGINES.name, weight: 1 }], resumedId = 'q' }: Options): Promise<Outcome> {
  const dependencies = createTestDependencies()
  const { table, client, loads, clock, origins } = dependencies
  for (const [name, softwareVersion] of Object.entries(targets)) {
    table.updateTarget(createTarget(name, { service: name.startsWith('x') ? OTHER.name : ENGINES.name, softwareVersion }))
    client.scripts.set(name, [{ steps: ['id: 2\ndata: b\n\n', 'END'] }])
  }
  loads.updatePeer('peer', new Map(Object.keys(targets).map((name, index) => [name, { running: index, tokens: 0 }])))
  const route = createRoute({ kind: 'stream', isResumable: true, timeoutMs: 6000, objectiveMs: 1000, services })
  const routes = RouteTable.create(createConfiguration([route], { services: new Map([[ENGINES.name, ENGINES], [OTHER.name, OTHER]]) }))
  if (origin !== undefined) origins.recordStream(route, 'q', origin)
  const sink = FakeSink.create()
  const service = RelayService.create({ dependencies, getRoutes: () => routes, getPauseMs: () => 0, isViewStale: () => false })
  let endedAtMs = Infinity
  service.serve(createRequest({ id: 'q2', resumedId, lastEventId: '1', remainingMs: 6000 }), sink).then(() => { endedAtMs = clock.nowMs() })
  await clock.advance(8000)
  const remembered = await origins.findOrigin({ route, requestId: 'q', currentId: 'q3', deadlineAtMs: Infinity })
  return { answer: sink.describe().slice(0, 3), sentTo: client.listTargets(), endedAtMs, rememberedVersion: remembered?.softwareVersion }
}

describe('a stream that a caller resumes', () => {
  it('goes on at the version that began it', async () => {
    expect(await doTest({ targets: { a: 'v1.1', b: 'v1' }, origin: V1 })).toEqual({ answer: '200', sentTo: ['b'], endedAtMs: 0, rememberedVersion: 'v1' })
  })

  it('is refused at once when no target of its version is left', async () => {
    expect(await doTest({ targets: { a: 'v1.1' }, origin: V1 })).toMatchObject({ answer: '503', sentTo: [], endedAtMs: 0 })
  })

  it('is refused when nobody knows which version began it', async () => {
    expect(await doTest({ targets: { a: 'v1.1', b: 'v1' } })).toMatchObject({ answer: '503', sentTo: [], endedAtMs: 0 })
  })

  it('goes on at the service that began it when the route has several', async () => {
    const services = [{ service: OTHER.name, weight: 1000 }, { service: ENGINES.name, weight: 1 }]
    expect(await doTest({ targets: { x: 'v1', a: 'v1' }, services, origin: V1 })).toMatchObject({ answer: '200', sentTo: ['a'] })
  })

  it('is refused when the route has lost the service that began it', async () => {
    expect(await doTest({ targets: { x: 'v1', a: 'v1' }, services: [{ service: OTHER.name, weight: 1 }], origin: V1 })).toMatchObject({ answer: '503', sentTo: [] })
  })
})
