import { describe, expect, it } from 'vitest'
import { compareTrace, type RequestKind, requestsModel, type RequestsState, replayTrace, runQuint } from '../../src/index.js'
import { replayRequests } from '../support/replayRequests.js'

const CALLS: readonly RequestKind[] = ['charge', 'lookup']

/** Takes one trace of the specification in the model and on the real owner. */
async function replaySpecified (trace: readonly unknown[]): Promise<{ readonly steps: number, readonly difference: string | undefined }> {
  const { names, difference } = compareTrace(requestsModel, trace)
  if (difference !== undefined) return { steps: 0, difference }
  const { states } = replayTrace({ model: requestsModel, initial: trace[0] as RequestsState, trace: names })
  return await replayRequests(names, states)
}

describe('traces of the specification', () => {
  it('are taken by the real owner for calls', async () => {
    const { traces } = await runQuint({ name: 'requests', invariants: ['notRunNeverRuns'], seed: 3, samples: 60, steps: 40, traces: 60 })
    const calls = traces.filter(([first]) => CALLS.includes((first as RequestsState).kind))
    const replayed = await Promise.all(calls.map(replaySpecified))
    expect(replayed.flatMap(({ difference }) => difference ?? [])).toEqual([])
    expect(replayed.reduce((sum, { steps }) => sum + steps, 0)).toBeGreaterThan(100)
  })
})
