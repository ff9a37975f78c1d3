import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type RelayRoute } from '../../src/model/RelayConfiguration.js'
import { RouteTable } from '../../src/model/RouteTable.js'
import { RelayService } from '../../src/requests/RelayService.js'
import { createConfiguration, createRequest, createRoute, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { FakeSink } from '../support/FakeSink.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

type Kind = 'idempotent' | 'once' | 'stream'

interface Options {
  readonly route?: readonly string[]
  readonly workspace?: readonly string[]
  readonly answer?: ScriptedAnswer
  /** Acts before the request. */
  readonly prepare?: (dependencies: TestDependencies) => void
  /** Acts at a clock reading, in milliseconds. */
  readonly action?: readonly [atMs: number, act: (dependencies: TestDependencies) => void]
}

interface Outcome {
  readonly answer: string
  /** Targets that got the request, and targets to which its run was copied. */
  readonly targets: readonly string[]
  readonly copiedTo: readonly string[]
}

const KINDS: readonly Kind[] = ['idempotent', 'once', 'stream']
const DURATION_MS = 12_000
const good: ScriptedAnswer = { steps: ['id: 1\ndata: d\n\n', 'END'] }
const long: ScriptedAnswer = { steps: ['id: 1\ndata: d\n\n', 2000, 'id: 2\ndata: d\n\n', 'END'] }

function getService (kind: Kind): string {
  return kind === 'stream' ? 'engines' : 'calls'
}

/**
 * Serves one request with key `k` of a workspace, before targets a, b and so on in the given zones. Zones z1 and z2 are in region r1, z3
 * is in r2, and the region of z9 is not known.
 */
async function doTest (kind: Kind, zones: readonly string[], { route: routeRegions, workspace, answer = good, prepare, action }: Options): Promise<Outcome> {
  const dependencies = createTestDependencies()
  const { clock, client, table } = dependencies
  for (const [index, availabilityZone] of zones.entries()) {
    table.updateTarget(createTarget('abcd'[index]!, { service: getService(kind), availabilityZone }))
    client.scripts.set('abcd'[index]!, [answer, good])
  }
  prepare?.(dependencies)
  client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 })
  const route: RelayRoute = createRoute({ kind, services: [{ service: getService(kind), weight: 1 }], timeoutMs: 10_000, isPublic: false, allowedRegions: routeRegions })
  const routes = RouteTable.create(createConfiguration([route], { keys: new Map([['k', { workspace: 'w', allowedRegions: workspace }]]) }))
  const service = RelayService.create({ dependencies, getRoutes: () => routes, getPauseMs: () => 0, isViewStale: () => false })
  const sink = FakeSink.create()
  if (action !== undefined) clock.startTimer(action[0], () => action[1](dependencies))
  const serving = service.serve(createRequest({ key: 'k', size: { promptTokens: 100, maxOutputTokens: 100 } }), sink)
  await clock.advance(DURATION_MS)
  await serving
  return { answer: sink.describe().split(' ').slice(0, 2).join(' '), targets: client.listTargets(), copiedTo: [...new Set(client.copies.map(({ to }) => to.name))] }
}

const endA = (dependencies: TestDependencies): void => { dependencies.table.updateTarget(createTarget('a', { service: 'engines', availabilityZone: 'z3', phase: 'leaving' })) }

describe('requests with home regions', () => {
  it.each(KINDS)('reach only targets there, although others are nearer (%s)', async kind => expect((await doTest(kind, ['z1', 'z3'], { route: ['r2'] })).targets).toEqual(['b']))
  it.each(KINDS)('reach only targets in the regions of their workspace (%s)', async kind => expect((await doTest(kind, ['z1', 'z3'], { workspace: ['r2'] })).targets).toEqual(['b']))
  it.each(KINDS)('reach only targets that route and workspace allow (%s)', async kind => expect((await doTest(kind, ['z1', 'z3'], { route: ['r1', 'r2'], workspace: ['r2', 'r3'] })).targets).toEqual(['b']))
  it.each(KINDS)('are refused, as not run, when route and workspace have no region in common (%s)', async kind => expect(await doTest(kind, ['z1', 'z3'], { route: ['r1'], workspace: ['r2'] })).toMatchObject({ answer: '503 noTarget', targets: [] }))
  it.each(KINDS)('are refused, as not run, when only targets of an unknown region are left (%s)', async kind => expect(await doTest(kind, ['z9'], { route: ['r1'] })).toMatchObject({ answer: '503 noTarget', targets: [] }))
  it.each(KINDS)('reach any target where no list states a region (%s)', async kind => expect((await doTest(kind, ['z9'], { route: [], workspace: [] })).targets).toEqual(['a']))

  it('are repeated only there (idempotent)', async () => {
    expect((await doTest('idempotent', ['z3', 'z1'], { route: ['r2'], answer: { status: 500, steps: ['no', 'END'] } })).targets).toEqual(['a'])
  })

  it('are refused as evacuated when only their regions are, although other targets are open', async () => {
    const { answer, targets } = await doTest('idempotent', ['z1', 'z3'], { route: ['r1'], prepare: ({ evacuatedZones }) => evacuatedZones.setZone('z1', true) })
    expect([answer, targets]).toEqual(['503 evacuated', []])
  })
})

describe('runs with home regions', () => {
  it('move only to engines there', async () => {
    expect(await doTest('stream', ['z3', 'z1', 'z3'], { route: ['r2'], answer: long, action: [200, endA] })).toMatchObject({ targets: ['a', 'c'], copiedTo: ['c'] })
  })

  it('stay where they are when no engine is left there', async () => {
    expect(await doTest('stream', ['z3', 'z1'], { route: ['r2'], answer: long, action: [200, endA] })).toMatchObject({ targets: ['a'], copiedTo: [] })
  })
})

describe('requests that wait', () => {
  it('do not keep those of other regions from their targets', async () => {
    const dependencies = createTestDependencies()
    const { clock, client, table, loads, admissionQueue } = dependencies
    for (const [name, availabilityZone] of [['a', 'z1'], ['b', 'z3']] as const) {
      table.updateTarget(createTarget(name, { service: 'engines', availabilityZone }))
      client.scripts.set(name, [good])
    }
    loads.addOwnLoad('a', { running: 4, tokens: 9000 })
    const service = createConfiguration([]).services.get('engines')!
    const wait = async (allowedRegions: readonly string[], waitStartedAtMs: number): Promise<string | undefined> => (await admissionQueue.waitForTarget({
      requirements: { service, allowedRegions, tokens: 100, excludedTargets: new Set() }, priority: 0, waitStartedAtMs, maxWaitMs: 500, signal: new AbortController().signal
    }))?.target.name
    const waiting = Promise.all([wait(['r1'], 0), wait(['r2'], 1)])
    await clock.advance(1000)
    expect(await waiting).toEqual([undefined, 'b'])
  })
})
