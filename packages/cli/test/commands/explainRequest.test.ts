import { type Explanation } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { createStatus, type FakeOperator } from '../support/FakeOperator.js'
import { doCliTest } from '../support/doCliTest.js'

const REQUEST = 'i2~r1~1~4'
const PATH = '/v1/explanations/i2~r1~1~4'
const EXPLANATION: Explanation = {
  request: REQUEST,
  service: 'gate',
  workspace: 'w',
  revision: 7,
  outcome: 'complete',
  reason: 'finished',
  steps: [{ atMs: 0, step: 'placed', detail: 'p1: least in flight' }, { atMs: 12, step: 'end', detail: 'complete: finished' }]
}

async function doTest (args: readonly string[], prepare: (fakes: readonly FakeOperator[]) => void): Promise<string> {
  return await doCliTest({ args: ['explain', ...args], fakes: 2, prepare: ({ fakes }) => prepare(fakes) })
}

describe('explainRequest', () => {
  it('shows the steps of a request', async () => {
    expect(await doTest([REQUEST, '--instance', '$0'], ([fake]) => fake?.setAnswers(PATH, EXPLANATION))).toMatchInlineSnapshot(`
      "request i2~r1~1~4: service gate, workspace w, revision 7
      outcome complete, reason finished

      after ms  step    detail
      0         placed  p1: least in flight
      12        end     complete: finished
      exit 0"
    `)
  })

  it('shows a request in progress', async () => {
    expect(await doTest([REQUEST, '--instance', '$0'], ([fake]) => {
      fake?.setAnswers(PATH, { ...EXPLANATION, outcome: undefined, reason: undefined, steps: [] })
    })).toMatchInlineSnapshot(`
      "request i2~r1~1~4: service gate, workspace w, revision 7
      in progress

      after ms  step  detail
      exit 0"
    `)
  })

  it('prints JSON for programs', async () => {
    expect(await doTest([REQUEST, '--instance', '$0', '--json'], ([fake]) => fake?.setAnswers(PATH, { ...EXPLANATION, steps: [] }))).toMatchInlineSnapshot(`
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

  it('finds the owner in the fleet', async () => {
    expect(await doTest([REQUEST, '--fleet', '$0'], ([a, b]) => {
      a?.setAnswers('/v1/status', createStatus({ members: [{ instance: 'i2', state: 'alive', availabilityZone: 'z', operatorUrl: b?.url }] }))
      b?.setAnswers(PATH, EXPLANATION)
    })).toMatchInlineSnapshot(`
      "request i2~r1~1~4: service gate, workspace w, revision 7
      outcome complete, reason finished

      after ms  step    detail
      0         placed  p1: least in flight
      12        end     complete: finished
      exit 0"
    `)
  })

  it('says that the owner is not known', async () => {
    expect(await doTest([REQUEST, '--fleet', '$0'], ([fake]) => fake?.setAnswers('/v1/status', createStatus()))).toMatchInlineSnapshot(`
      "error: $0: notFound: the fleet has no address of instance "i2"
      exit 1"
    `)
  })

  it('says that the instance does not remember the request', async () => {
    expect(await doTest([REQUEST, '--instance', '$0'], () => {})).toMatchInlineSnapshot(`
      "error: $0: notFound: HTTP status 404, no such thing
      exit 1"
    `)
  })
})
