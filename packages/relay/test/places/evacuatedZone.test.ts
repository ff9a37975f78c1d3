import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createRequest, createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'
import { type RequestKind, type RequestOutcome, runRequest, SERVICES } from '../support/runRequest.js'

interface Options {
  /** Clock reading at which zone z1 is evacuated, in milliseconds. */
  readonly evacuatedAtMs?: number
  /** Clock reading at which the request for it is withdrawn, in milliseconds. */
  readonly endsAtMs?: number
  /** Whether all targets are full. */
  readonly areFull?: boolean
  readonly answer?: ScriptedAnswer
}

const KINDS = ['call', 'stream'] as const
const good: ScriptedAnswer = { steps: ['id: 1\ndata: d\n\n', 'END'] }

/** Runs one request before targets a, b and so on in the given zones, of which z1 is evacuated. */
async function doTest (kind: RequestKind, zones: readonly string[], { evacuatedAtMs = 0, endsAtMs, areFull = false, answer = good }: Options = {}): Promise<RequestOutcome> {
  const dependencies = createTestDependencies()
  const { clock, evacuatedZones, placer } = dependencies
  addTargets(dependencies, kind, zones, answer)
  if (areFull) for (const [index] of zones.entries()) dependencies.loads.addOwnLoad('abc'[index]!, { running: 4, tokens: 9000 })
  const setZone = (isActive: boolean): void => {
    evacuatedZones.setZone('z1', isActive)
    placer.notifyCapacity()
  }
  clock.startTimer(evacuatedAtMs, () => setZone(true))
  if (endsAtMs !== undefined) clock.startTimer(endsAtMs, () => setZone(false))
  if (evacuatedAtMs <= 0) await clock.advance(0)
  return await runRequest(dependencies, kind)
}

function addTargets ({ table, client }: TestDependencies, kind: RequestKind, zones: readonly string[], answer: ScriptedAnswer): void {
  for (const [index, availabilityZone] of zones.entries()) {
    const target = createTarget('abc'[index]!, { service: SERVICES[kind].name, availabilityZone })
    table.updateTarget(target)
    client.scripts.set(target.name, [answer])
  }
}

describe('requests while a zone is evacuated', () => {
  it.each(KINDS)('go to a target of another zone at once (%s)', async kind => {
    const { sink, targets, heldMs } = await doTest(kind, ['z1', 'z2'])
    expect([sink.status, targets, heldMs]).toEqual([200, ['b'], 0])
  })

  it.each(KINDS)('are refused at once, as not run, when no other target is left (%s)', async kind => {
    const { sink, targets, heldMs } = await doTest(kind, ['z1', 'z1'])
    expect([sink.describe(), targets, heldMs, (sink.refusal?.retryAfterMs ?? 0) > 0]).toEqual(['503 evacuated', [], 0, true])
  })

  it('are refused as soon as the only zone in which they wait is evacuated (stream)', async () => {
    const { sink, targets, heldMs } = await doTest('stream', ['z1'], { evacuatedAtMs: 100, areFull: true })
    expect([sink.describe(), targets, heldMs]).toEqual(['503 evacuated', [], 100])
  })

  it('keep waiting for a target of another zone (stream)', async () => {
    const { sink, targets } = await doTest('stream', ['z1', 'z2'], { evacuatedAtMs: 100, areFull: true })
    expect([sink.describe(), targets]).toEqual(['503 overloaded', []])
  })

  it('end by themselves when they run there already (stream)', async () => {
    const { sink, targets } = await doTest('stream', ['z1'], { evacuatedAtMs: 100, answer: { steps: ['id: 1\ndata: d\n\n', 500, 'id: 2\ndata: d\n\n', 'END'] } })
    expect([sink.status, targets]).toEqual([200, ['a']])
  })

  it.each(KINDS)('go there again after the request for it is withdrawn (%s)', async kind => {
    const { sink, targets } = await doTest(kind, ['z1'], { evacuatedAtMs: -20, endsAtMs: 0 })
    expect([sink.status, targets]).toEqual([200, ['a']])
  })
})

describe('TargetGateway of an instance that knows of an evacuated zone', () => {
  const [inside, outside] = [createTarget('a', { availabilityZone: 'z1' }), createTarget('b', { availabilityZone: 'z2' })]

  /** Copies a run while z1 is evacuated, and returns the reason for which it was not copied. */
  async function doTest (from: typeof inside, to: typeof inside): Promise<string> {
    const { gateway, evacuatedZones, client } = createTestDependencies()
    client.answerCopy = async () => Result.ok({ handle: 'h', producedEvents: 0 })
    evacuatedZones.setZone('z1', true)
    const copy = await gateway.copyRun({ requestId: 'q1', from, to, isLast: false, timeoutMs: 100 })
    return copy.isOk ? 'copied' : copy.error.reason
  }

  it('copies no run into the zone', async () => expect(await doTest(outside, inside)).toBe('closed'))
  it('copies runs out of the zone', async () => expect(await doTest(inside, outside)).toBe('copied'))

  it('does not send a request whose connection is ready only after the zone was evacuated', async () => {
    const { gateway, evacuatedZones, client } = createTestDependencies()
    client.scripts.set('a', [good])
    gateway.sendRequest(inside, { request: createRequest(), remainingMs: 900, needsFreshConnection: false, signal: new AbortController().signal })
    const mayStart = client.attempts[0]!.options.mayStart!
    const before = mayStart()
    evacuatedZones.setZone('z1', true)
    expect([before, mayStart()]).toEqual([true, false])
  })
})
