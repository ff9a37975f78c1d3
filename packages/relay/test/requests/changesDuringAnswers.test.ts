import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedCall } from '../../src/requests/runRelayedCall.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type CopyError, type RunCopy } from '../../src/targets/RelayTargetClient.js'
import { CALLS, createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'
import { type ScriptedAnswer } from '../support/FakeTargetClient.js'

const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const WHOLE = createEvent(1) + createEvent(2) + createEvent(3)

/** A request whose only target answers in the course of ten seconds. */
interface SlowRequest {
  readonly service: ServiceProfile
  readonly route: Partial<RelayRoute>
}

const REQUESTS: Readonly<Record<string, SlowRequest>> = {
  'a call that may be repeated': { service: CALLS, route: { kind: 'idempotent' } },
  'a call that may run once': { service: CALLS, route: { kind: 'once' } },
  'a stream without engines': { service: CALLS, route: { kind: 'stream' } },
  'a stream': { service: ENGINES, route: { kind: 'stream' } },
  'a stream that may be resumed': { service: ENGINES, route: { kind: 'stream', isResumable: true } }
}

const ANSWERS: Readonly<Record<string, ScriptedAnswer>> = {
  'before its head': { afterMs: 9000, steps: [WHOLE, 100, 'END'] },
  'in its middle': { steps: [createEvent(1), 4000, createEvent(2), 4000, createEvent(3), 100, 'END'] },
  'in its middle, without a length': { isFramed: false, steps: [createEvent(1), 4000, createEvent(2), 4000, createEvent(3), 100, 'END'] }
}

/** What becomes known while the answer arrives. */
type Change = (dependencies: TestDependencies, service: ServiceProfile) => void

const CHANGES: Readonly<Record<string, Change>> = {
  'its target leaves': ({ table }, { name: service }) => table.updateTarget(createTarget('a', { service, phase: 'leaving' })),
  'its target states that it leaves': ({ client }, { name: service }) => client.notifyNotices(createTarget('a', { service }), [{ kind: 'leaving' }]),
  'the entry of its target is removed': ({ table }) => table.handleRemoval('a'),
  'a later start of its target is published': ({ table }, { name: service }) => table.updateTarget(createTarget('a', { service, startedAtMs: 2 })),
  'its target wants no requests for a while': ({ client }, { name: service }) => client.notifyNotices(createTarget('a', { service }), [{ kind: 'backoff', durationMs: 2000, text: '2' }]),
  'its target refuses other requests': ({ health }) => { for (let count = 0; count < 10; count++) health.recordOutcome('a', 'failure') },
  'the zone of its target is evacuated': ({ evacuatedZones }) => evacuatedZones.setZone('z1', true),
  'all that peers reported is lost': ({ loads }) => loads.updatePeer('peer', new Map()),
  'no budget is left': ({ budget }, { name }) => { while (budget.takeAttempt(name, 'move')); }
}

const COPIES: ReadonlyArray<Result<RunCopy, CopyError>> = [
  Result.err({ reason: 'unreachable' }), Result.err({ reason: 'noRoom' }), Result.err({ reason: 'noRun' }), Result.err({ reason: 'busy' }), Result.err({ reason: 'closed' })
]

/** Changes something after 500 ms of the answer, with or without another target to which the engine cannot copy; returns what the caller receives. */
async function doTest ({ service, route: routeOptions }: SlowRequest, answer: ScriptedAnswer, change: Change, copy: Result<RunCopy, CopyError>, hasOther: boolean, firstCopy = copy): Promise<string> {
  const dependencies = createTestDependencies()
  const { clock, client, table, loads } = dependencies
  for (const name of hasOther ? ['a', 'b'] : ['a']) table.updateTarget(createTarget(name, { service: service.name }))
  client.scripts.set('a', [answer])
  client.scripts.set('b', [{ error: 'notExecuted' }])
  loads.updatePeer('peer', new Map([['b', { running: 1, tokens: 0 }]]))
  client.answerCopy = async ({ isLast }) => isLast ? copy : firstCopy
  const route = createRoute({ timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...routeOptions })
  const { context, sink, endController } = createContext(route, service, { size: { promptTokens: 1000, maxOutputTokens: 400 } })
  clock.startTimer(route.timeoutMs, () => endController.abort())
  clock.startTimer(500, () => change(dependencies, service))
  const run = route.kind === 'stream' ? runRelayedStream : runRelayedCall
  run(dependencies, context)
  await clock.advance(30_000)
  return sink.describe()
}

describe.each(Object.entries(REQUESTS))('%s', (_, request) => {
  describe.each(Object.entries(ANSWERS))('whose answer is %s', (_, answer) => {
    it.each(Object.entries(CHANGES))('is answered completely though %s', async (_, change) => {
      expect(await doTest(request, answer, change, COPIES[0]!, false)).toBe(`200 ${JSON.stringify(WHOLE)} complete`)
    })
  })
})

describe('a stream whose engine leaves and cannot copy it', () => {
  it.each(COPIES.map(copy => [copy.isErr ? copy.error.reason : '', copy] as const))('is answered completely: %s', async (_, copy) => {
    for (const answer of Object.values(ANSWERS)) {
      expect(await doTest(REQUESTS['a stream']!, answer, CHANGES['its target leaves']!, copy, true)).toBe(`200 ${JSON.stringify(WHOLE)} complete`)
    }
  })

  it.each(COPIES.map(copy => [copy.isErr ? copy.error.reason : '', copy] as const))('is answered completely if it was copied but not stopped: %s', async (_, copy) => {
    for (const answer of [ANSWERS['before its head']!, ANSWERS['in its middle']!]) {
      expect(await doTest(REQUESTS['a stream']!, answer, CHANGES['its target leaves']!, copy, true, Result.ok({ handle: 'h', producedEvents: 1 }))).toBe(`200 ${JSON.stringify(WHOLE)} complete`)
    }
  })
})
