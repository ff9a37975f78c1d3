import { describe, expect, it } from 'vitest'
import { compareTrace, type RequestKind, requestsModel, type RequestsState, replayTrace, runQuint } from '../../src/index.js'
import { replayRequests } from '../support/replayRequests.js'

const CALL_KINDS: readonly RequestKind[] = ['charge', 'lookup']

/** Replays one trace of the specification in the model and on the product's owner. */
async function replaySpecificationTrace (trace: readonly unknown[]): Promise<{ readonly stepCount: number, readonly difference: string | undefined }> {
  const { stepNames, difference } = compareTrace(requestsModel, trace)
  if (difference !== undefined) return { stepCount: 0, difference }
  const { states } = replayTrace({ model: requestsModel, initial: trace[0] as RequestsState, trace: stepNames })
  return await replayRequests(stepNames, states)
}

describe('traces of the specification', () => {
  it('are reproduced by the owner for calls', async () => {
    const { traces } = await runQuint({ name: 'requests', invariants: ['notRunNeverRuns'], seed: 3, maxSamples: 60, maxSteps: 40, traceCount: 60 })
    const calls = traces.filter(([first]) => CALL_KINDS.includes((first as RequestsState).kind))
    const replayed = await Promise.all(calls.map(replaySpecificationTrace))
    expect(replayed.flatMap(({ difference }) => difference ?? [])).toEqual([])
    expect(replayed.reduce((sum, { stepCount }) => sum + stepCount, 0)).toBeGreaterThan(100)
  })
})
