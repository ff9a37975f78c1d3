import { Result } from 'true-myth'
import { type RelayRoute, type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { runRelayedStream } from '../../src/requests/runRelayedStream.js'
import { type HoldError } from '../../src/targets/RelayTargetClient.js'
import { createContext, createRoute, createTarget, createTestDependencies, ENGINES, type TestDependencies } from './createTestDependencies.js'
import { type FakeSink } from './FakeSink.js'
import { type ScriptedAnswer } from './FakeTargetClient.js'

/** Formats an event. */
export const createEvent = (id: number): string => `id: ${id}\ndata: d${id}\n\n`

const HOLDING: ServiceProfile = { ...ENGINES, engine: { ...ENGINES.engine!, maxHoldMs: 2000 } }

/** Sizes that the caller states. */
export const SILENT_STREAM_SIZE = { promptTokens: 1000, maxOutputTokens: 400 }

/** Duration of a silence, in milliseconds. */
export const SILENCE_MS = 5000

/** Options of a stream whose engines may fall silent. */
export interface SilentStreamOptions {
  readonly extra?: number
  readonly graceMs?: number
  /** What other engines answer to calls for a reservation, after some time in milliseconds; by default engines reserve nothing. */
  readonly holds?: { readonly answer: Result<string, HoldError>, readonly afterMs: number }
  readonly route?: Partial<RelayRoute>
  /** Changes the dependencies before the stream begins. */
  readonly prepare?: (dependencies: TestDependencies) => void
}

/** Runs a stream that may be resumed, and whose targets have the given scripts, one for each attempt; the first target is the least used. */
export async function runSilentStream (scripts: Record<string, ScriptedAnswer | readonly ScriptedAnswer[]>, { extra, graceMs, holds, route: routeOptions, prepare }: SilentStreamOptions = {}): Promise<{ sink: FakeSink, dependencies: TestDependencies }> {
  const dependencies = createTestDependencies({ extra, graceMs, isLoadPartial: () => holds !== undefined })
  for (const [name, answers] of Object.entries(scripts)) {
    dependencies.table.updateTarget(createTarget(name, { service: ENGINES.name }))
    dependencies.client.scripts.set(name, [answers].flat())
  }
  dependencies.loads.updatePeer('peer', new Map(Object.keys(scripts).map((name, index) => [name, { running: index, tokens: 0 }])))
  dependencies.client.answerCopy = async () => Result.err({ reason: 'unreachable' })
  dependencies.client.answerHold = async ({ target }) => {
    if (holds === undefined || target.name === 'a') return Result.ok('first')
    await dependencies.clock.sleep(holds.afterMs)
    return holds.answer
  }
  const route = createRoute({ kind: 'stream', maxAttempts: 2, isResumable: true, timeoutMs: 20_000, objectiveMs: 1000, maxGapMs: 100, ...routeOptions })
  const { context, sink, endController } = createContext(route, HOLDING, { size: SILENT_STREAM_SIZE })
  dependencies.clock.startTimer(route.timeoutMs, () => endController.abort())
  prepare?.(dependencies)
  runRelayedStream(dependencies, context)
  await dependencies.clock.advance(60_000)
  return { sink, dependencies }
}

/** Answers of an engine that falls silent between two events, or before its first one, and the whole answer as the caller gets it. */
export const SILENT_AFTER_START: ScriptedAnswer = { steps: [createEvent(1), SILENCE_MS, createEvent(2), 'END'] }
export const SILENT_BEFORE_START: ScriptedAnswer = { afterMs: SILENCE_MS, steps: [createEvent(1), createEvent(2), 'END'] }
export const WHOLE = `200 ${JSON.stringify(createEvent(1) + createEvent(2))} complete`
