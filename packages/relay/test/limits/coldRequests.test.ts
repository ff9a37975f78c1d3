import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type ColdFleet } from '../../src/limits/computeColdInterval.js'
import { createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'
import { type RequestKind, type RequestOutcome, runRequest, SERVICES } from '../support/runRequest.js'
import { sendCalls } from '../support/sendCalls.js'

interface Options {
  readonly fleet?: ColdFleet
  readonly answers?: ScriptedAnswer[]
  readonly perSecond?: number
}

const KINDS = ['call', 'stream'] as const
const good: ScriptedAnswer = { steps: ['id: 1\ndata: d\n\n', 'END'] }
const failed: ScriptedAnswer = { status: 500, steps: ['no', 'END'] }

function setRates ({ coldTargets }: TestDependencies, perSecond: number): void {
  coldTargets.setServices(new Map(Object.values(SERVICES).map(service => [service.name, { ...service, coldRequestsPerSecond: perSecond }])))
}

/** Runs one request before targets a, b and so on that are cold for some time, in milliseconds. This instance has used its turn at each of them. */
async function doTest (kind: RequestKind, coldMs: readonly number[], { fleet, answers = [good], perSecond = 0.5 }: Options = {}): Promise<RequestOutcome> {
  const dependencies = createTestDependencies({ getColdFleet: fleet === undefined ? undefined : () => fleet })
  const { client, table, coldTargets } = dependencies
  setRates(dependencies, perSecond)
  for (const [index, slowStartRemainingMs] of coldMs.entries()) {
    const target = createTarget('abc'[index]!, { service: SERVICES[kind].name, slowStartRemainingMs })
    table.updateTarget(target)
    coldTargets.recordEntry(target)
    coldTargets.recordRequest(target)
    client.scripts.set(target.name, [...answers])
  }
  return await runRequest(dependencies, kind)
}

describe('requests to a service with cold targets', () => {
  it.each(KINDS)('go to a warm target at once (%s)', async kind => {
    const { sink, targets, heldMs } = await doTest(kind, [9000, 0])
    expect([sink.status, targets, heldMs]).toEqual([200, ['b'], 0])
  })

  it.each(KINDS)('are refused at once, as not run, when no turn comes in time (%s)', async kind => {
    const { sink, targets, heldMs } = await doTest(kind, [9000, 9000])
    expect([sink.describe(), targets, heldMs]).toEqual(['503 warming', [], 0])
  })

  it('are told to return when there is a turn again', async () => {
    const { sink } = await doTest('call', [9000, 9000])
    expect(sink.refusal?.retryAfterMs).toBeGreaterThanOrEqual(2000)
    expect(sink.refusal?.retryAfterMs).toBeLessThanOrEqual(10_000 / 3)
  })

  it('wait for a target that is warm in time (stream)', async () => {
    const { sink, targets, heldMs } = await doTest('stream', [300])
    expect([sink.status, targets, Math.round(heldMs)]).toEqual([200, ['a'], 300])
  })

  it('are refused while the number of instances is not known', async () => {
    const { sink, targets } = await doTest('call', [9000], { fleet: { alive: 1, possible: Infinity, rank: 0 } })
    expect([sink.describe(), targets]).toEqual(['503 warming', []])
  })

  it('are not repeated at a cold target that has no turn for them', async () => {
    const { sink, targets } = await doTest('call', [9000, 0], { answers: [failed] })
    expect([sink.status, targets]).toEqual([500, ['b']])
  })

  it.each(KINDS)('go to a cold target as to any other where its service states no rate (%s)', async kind => {
    expect((await doTest(kind, [9000], { perSecond: 0 })).targets).toEqual(['a'])
  })

  it('see in the first answer of a target that it is cold', async () => {
    const dependencies = createTestDependencies()
    setRates(dependencies, 0.5)
    const target = createTarget('a')
    dependencies.table.updateTarget(target)
    dependencies.client.scripts.set('a', [{ ...good, notices: [{ kind: 'cold', remainingMs: 60_000 }] }])
    const before = dependencies.coldTargets.isCold(target)
    await runRequest(dependencies, 'call')
    expect(before).toBe(false)
    expect(dependencies.coldTargets.isCold(target)).toBe(true)
  })
})

describe('runs that move to a cold engine', () => {
  it('use up a turn again when they go on there', async () => {
    const dependencies = createTestDependencies()
    const { clock, client, table, coldTargets, evacuatedZones } = dependencies
    setRates(dependencies, 0.1)
    const [source, destination] = [createTarget('a', { service: 'engines' }), createTarget('b', { service: 'engines', availabilityZone: 'z2', slowStartRemainingMs: 60_000 })]
    for (const target of [source, destination]) table.updateTarget(target)
    coldTargets.recordEntry(destination)
    client.scripts.set('a', [{ steps: ['id: 1\ndata: d\n\n', 3000, 'END'] }])
    client.scripts.set('b', [good])
    client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 1 })
    // The evacuation keeps the request from the cold engine at first, whatever the random part of the choice is.
    evacuatedZones.setZone('z2', true)
    clock.startTimer(100, () => evacuatedZones.setZone('z2', false))
    clock.startTimer(200, () => table.updateTarget({ ...source, phase: 'leaving' }))
    const { targets } = await runRequest(dependencies, 'stream')
    // Turns are 10 s apart: one was taken with the destination, and the run took the next one.
    expect([targets, coldTargets.getWaitMs(destination) > 10_000 - 200]).toEqual([['a', 'b'], true])
  })
})

describe('targets that come back cold to 58 instances', () => {
  const INSTANCES = 58
  const COLD_PER_SECOND = 31
  const COLD_MS = 8000
  const WINDOW_MS = 1000

  it('get no more than the bound in any second while callers compete for them, and callers are served elsewhere', async () => {
    const clock = VirtualClock.create()
    const instances = Array.from({ length: INSTANCES }, (_, index) => createInstance(clock, index))
    const { served, refused } = await sendCalls({ clock, random: SeededRandom.create(4), instances, requestsPerSecond: 400, endAtMs: COLD_MS })
    const most = ['a', 'b'].map(name => countMostInWindow(instances, name))
    expect(Math.max(...most)).toBeLessThanOrEqual(1.5 * COLD_PER_SECOND + 5)
    expect([refused, served]).toEqual([0, 3200])
  })

  function createInstance (clock: VirtualClock, index: number): TestDependencies {
    const instance = createTestDependencies({ clock, seed: index + 1, getColdFleet: () => ({ alive: INSTANCES, possible: INSTANCES, rank: index }) })
    setRates(instance, COLD_PER_SECOND)
    for (const [name, slowStartRemainingMs] of [['a', COLD_MS], ['b', COLD_MS], ['c', 0], ['d', 0]] as const) {
      const target = createTarget(name, { slowStartRemainingMs })
      instance.table.updateTarget(target)
      instance.coldTargets.recordEntry(target)
      instance.client.scripts.set(name, [{ steps: [60, 'END'] }])
    }
    return instance
  }

  function countMostInWindow (instances: readonly TestDependencies[], target: string): number {
    const times = instances.flatMap(({ client }) => client.attempts).filter(({ target: name }) => name === target).map(({ atMs }) => atMs).sort((a, b) => a - b)
    return Math.max(0, ...times.map((startMs, index) => times.slice(index).filter(atMs => atMs < startMs + WINDOW_MS).length))
  }
})
