import { type Explanation } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { createStatus, type FakeOperatorServer } from '../support/FakeOperatorServer.js'
import { doCliTest } from '../support/doCliTest.js'

const REQUEST_ID = 'i2~r1~1~4'
const EXPLANATION_PATH = '/v1/explanations/i2~r1~1~4'
const EXPLANATION: Explanation = {
  request: REQUEST_ID,
  service: 'gate',
  workspace: 'w',
  revision: 7,
  outcome: 'complete',
  reason: 'finished',
  steps: [{ atMs: 0, step: 'placed', detail: 'p1: least in flight' }, { atMs: 12, step: 'end', detail: 'complete: finished' }]
}

async function doTest (args: readonly string[], prepare: (fakes: readonly FakeOperatorServer[]) => void): Promise<string> {
  return await doCliTest({ args: ['explain', ...args], fakeCount: 2, prepare: ({ fakes }) => prepare(fakes) })
}

describe('explainRequest', () => {
  it('shows the steps of a request', async () => {
    expect(await doTest([REQUEST_ID, '--instance', '$0'], ([fake]) => fake?.setResponses(EXPLANATION_PATH, EXPLANATION))).toMatchInlineSnapshot(`
      "request i2~r1~1~4: service gate, workspace w, revision 7
      outcome complete, reason finished

      after ms  step    detail
      0         placed  p1: least in flight
      12        end     complete: finished
      exit 0"
    `)
  })

  it('shows a request in progress', async () => {
    expect(await doTest([REQUEST_ID, '--instance', '$0'], ([fake]) => {
      fake?.setResponses(EXPLANATION_PATH, { ...EXPLANATION, outcome: undefined, reason: undefined, steps: [] })
    })).toMatchInlineSnapshot(`
      "request i2~r1~1~4: service gate, workspace w, revision 7
      in progress

      after ms  step  detail
      exit 0"
    `)
  })

  it('prints JSON', async () => {
    expect(await doTest([REQUEST_ID, '--instance', '$0', '--json'], ([fake]) => fake?.setResponses(EXPLANATION_PATH, { ...EXPLANATION, steps: [] }))).toMatchInlineSnapshot(`
      "{
        "request": "i2~r1~1~4",
        "service": "gate",
        "workspace": "w",
        "revision": 7,
        "outcome": "complete",
        "reason": "finished",
        "steps": []
      }
      exit 0"
    `)
  })

  it('finds the owning instance in the fleet', async () => {
    expect(await doTest([REQUEST_ID, '--fleet', '$0'], ([a, b]) => {
      a?.setResponses('/v1/status', createStatus({ members: [{ instance: 'i2', state: 'alive', availabilityZone: 'z', operatorUrl: b?.url }] }))
      b?.setResponses(EXPLANATION_PATH, EXPLANATION)
    })).toMatchInlineSnapshot(`
      "request i2~r1~1~4: service gate, workspace w, revision 7
      outcome complete, reason finished

      after ms  step    detail
      0         placed  p1: least in flight
      12        end     complete: finished
      exit 0"
    `)
  })

  it('reports an unknown owning instance', async () => {
    expect(await doTest([REQUEST_ID, '--fleet', '$0'], ([fake]) => fake?.setResponses('/v1/status', createStatus()))).toMatchInlineSnapshot(`
      "error: $0: notFound: the fleet lists no address for instance "i2"
      exit 1"
    `)
  })

  it('reports a request that the instance does not have', async () => {
    expect(await doTest([REQUEST_ID, '--instance', '$0'], () => {})).toMatchInlineSnapshot(`
      "error: $0: notFound: HTTP status 404, not found
      exit 1"
    `)
  })
})
