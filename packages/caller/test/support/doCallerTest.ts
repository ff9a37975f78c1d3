import { SeededRandom } from '@fescuespoke/common'
import { type StreamEvent } from '@fescuespoke/schema'
import { type AnswerResult, Caller, type CallerOptions } from '../../src/index.js'
import { FakeInstance, type Scripts, type ScriptStep } from './FakeInstance.js'
import { TestClock } from './TestClock.js'

export interface CallerTest {
  readonly caller: Caller
  readonly clock: TestClock
  readonly fakeInstances: readonly FakeInstance[]
  /** Waits until a script has reached a `stall` step. */
  waitForStall: () => Promise<void>
}

export interface CallerTestOptions {
  /** Scripts of the instances a, b and so on, in the order of their ranking. */
  readonly scripts: readonly Scripts[]
  readonly callerOptions?: Partial<CallerOptions>
}

/** Uses a caller. The result is appended to the list of received requests. */
export type CallerScenario = (test: CallerTest) => Promise<AnswerResult | string[]>

/** Runs one generation and returns its result without iterating over its tokens. */
export async function generateOnce ({ caller }: CallerTest): Promise<AnswerResult> {
  return await caller.generate({ service: 's', prompt: 'p' }).wait()
}

/** Runs one call and returns its result. */
export async function callOnce ({ caller }: CallerTest): Promise<AnswerResult> {
  return await caller.call({ service: 's', body: {} }).wait()
}

/** Runs one generation and reads it token by token. */
export async function streamOnce ({ caller }: CallerTest): Promise<string[]> {
  const answer = caller.generate({ service: 's', prompt: 'p' })
  const tokens: string[] = []
  for await (const token of answer) tokens.push(token)
  return [`read ${tokens.join(' ')}`, describeResult(await answer.wait())]
}

/** Returns a description of a result in one line. */
export function describeResult (result: AnswerResult): string {
  const { outcome, reason } = result
  if (result.outcome !== 'complete') return `${outcome} ${reason}: ${result.detail.replace(/127[.0-9]+:[0-9]+/g, 'HOST')}`
  return `${outcome} ${reason}: ${result.reply === undefined ? result.tokens.join(' ') : JSON.stringify(result.reply)}`
}

/**
 * Runs a caller against scripted instances and returns the received requests, followed by the result.
 */
export async function doCallerTest (options: CallerTestOptions, run: CallerScenario = generateOnce): Promise<string[]> {
  const log: string[] = []
  let notifyStall = (): void => {}
  const stall = new Promise<void>(resolve => { notifyStall = resolve })
  const clock = TestClock.create()
  const fakeInstances = await Promise.all(options.scripts.map(async (_, index) =>
    await FakeInstance.start({ name: 'abcdef'.charAt(index), log, onStall: notifyStall })))
  const addresses = fakeInstances.map(({ url }, index) => ({ instance: 'abcdef'.charAt(index), url, availabilityZone: `z${index}` }))
  fakeInstances.forEach((fake, index) => {
    const lease = 'abcdef'.charAt(index).toUpperCase()
    fake.scripts = {
      'GET addresses': [[{ status: 200, body: { addresses, validForMs: 10_000, revision: 1 } }]],
      'DELETE resumes': [[{ status: 204, body: {} }]],
      'POST leases': [[{ status: 200, body: { lease, instance: lease, incarnation: 'i', validForMs: 60_000, revision: 1 } }]],
      ...options.scripts[index]
    }
  })
  const bootstrapUrls = fakeInstances.map(({ url }) => url)
  const caller = Caller.create({ bootstrapUrls, workspace: 'w', clock, random: SeededRandom.create(1), ...options.callerOptions })
  try {
    const result = await run({ caller, clock, fakeInstances, waitForStall: async () => await stall })
    return [...log, ...(Array.isArray(result) ? result : [describeResult(result)])]
  } finally {
    await caller.close()
    await Promise.all(fakeInstances.map(async fake => await fake.stop()))
  }
}

/** Creates the event that opens a stream. */
export function createAcceptedEvent (delivery: 'stream' | 'whole' = 'stream'): StreamEvent {
  return { type: 'accepted', request: 'r', delivery }
}

/** Creates the event that announces a generation. */
export function createGenerationEvent (generation: string): StreamEvent {
  return { type: 'generation', generation, resumeToken: `token-${generation}` }
}

/** Creates an event with tokens. */
export function createTokensEvent (generation: string, offset: number, ...tokens: string[]): StreamEvent {
  return { type: 'tokens', generation, offset, tokens }
}

/** Creates the end event of a complete answer. */
export function createCompleteEvent (tokens?: number): StreamEvent {
  return { type: 'end', outcome: 'complete', reason: 'finished', tokens }
}

/** Creates the script steps of an HTTP error response. */
export function createHttpError (status: number, error: string): readonly ScriptStep[] {
  return [{ status, body: { error, message: error } }]
}
