import { describe, expect, it } from 'vitest'
import { createStatus, type FakeOperatorServer } from '../support/FakeOperatorServer.js'
import { doCliTest } from '../support/doCliTest.js'

async function doTest (args: readonly string[], prepare: (fakes: readonly FakeOperatorServer[]) => void, fakeCount = 1): Promise<string> {
  return await doCliTest({ args: ['status', ...args], fakeCount, prepare: testContext => prepare(testContext.fakes) })
}

const TARGETS = [
  { target: 'e1', state: 'active' as const, running: 3, queued: 0, projectedTokens: 900, capacityTokens: 4000, evidenceAgeMs: 120, coordinator: 'i2' },
  { target: 'e2', state: 'excluded' as const, running: 0, queued: 0, projectedTokens: 0, capacityTokens: 4000, evidenceAgeMs: 150_000 }
]
const REFUSED_RECORDS = [{ key: 'gate.json', record: 'service gate', problems: ['pool: got nothing, allowed is a value is required'], revision: 7, keptRevision: 5 }]

describe('showStatus', () => {
  it('shows one instance', async () => {
    expect(await doTest(['--instance', '$0'], ([fake]) => {
      const members = [{ instance: 'i2', state: 'suspect' as const, availabilityZone: 'z2', url: 'http://10.0.0.2:7001' }]
      fake?.setResponses('/v1/status', createStatus({ targets: TARGETS, members }))
    })).toMatchInlineSnapshot(`
      "instance i1, incarnation r1: ready
      records: revision 7, confirmed 1.5 s ago
      instance list: version 3, confirmed 0.4 s ago
      requests: 2 in progress, 1 queued

      target  state     running  queued  projected tokens  capacity tokens  evidence age  coordinator
      e1      active    3        0       900               4000             0.1 s         i2
      e2      excluded  0        0       0                 4000             3 min         -

      member  state    availability zone  url
      i2      suspect  z2                 http://10.0.0.2:7001
      exit 0"
    `)
  })

  it('lists refused records with their problems', async () => {
    expect(await doTest(['--instance', '$0'], ([fake]) => {
      fake?.setResponses('/v1/status', createStatus({ refused: REFUSED_RECORDS }))
    })).toMatchInlineSnapshot(`
      "instance i1, incarnation r1: ready
      records: revision 7, confirmed 1.5 s ago
      instance list: version 3, confirmed 0.4 s ago
      requests: 2 in progress, 1 queued

      refused record  key        revision  kept revision  problems
      service gate    gate.json  7         5              pool: got nothing, allowed is a value is required
      exit 1"
    `)
  })

  it('reports an instance that is not ready', async () => {
    expect(await doTest(['--instance', '$0'], ([fake]) => {
      fake?.setResponses('/v1/status', createStatus({ phase: 'starting', revision: 0, configurationAgeMs: -1 }))
    })).toMatchInlineSnapshot(`
      "instance i1, incarnation r1: starting
      records: revision 0, confirmed never
      instance list: version 3, confirmed 0.4 s ago
      requests: 2 in progress, 1 queued
      exit 1"
    `)
  })

  it('prints JSON', async () => {
    expect(await doTest(['--instance', '$0', '--json'], ([fake]) => fake?.setResponses('/v1/status', createStatus()))).toMatchInlineSnapshot(`
      "{
        "instance": "i1",
        "incarnation": "r1",
        "phase": "ready",
        "revision": 7,
        "listVersion": 3,
        "listAgeMs": 400,
        "configurationAgeMs": 1500,
        "requests": 2,
        "queued": 1,
        "targets": [],
        "members": [],
        "refused": []
      }
      exit 0"
    `)
  })

  it('replaces control characters in the output', async () => {
    expect(await doTest(['--instance', '$0'], ([fake]) => {
      const refused = [{ ...REFUSED_RECORDS[0], key: 'k', record: 'service \u001b[31mred', problems: ['a\nb'], revision: 1, keptRevision: 0 }]
      fake?.setResponses('/v1/status', createStatus({ refused }))
    })).toMatchInlineSnapshot(`
      "instance i1, incarnation r1: ready
      records: revision 7, confirmed 1.5 s ago
      instance list: version 3, confirmed 0.4 s ago
      requests: 2 in progress, 1 queued

      refused record    key  revision  kept revision  problems
      service  [31mred  k    1         0              a b
      exit 1"
    `)
  })

  it('reports an unreachable instance', async () => {
    expect(await doTest(['--instance', 'http://127.0.0.1:1'], () => {}, 0)).toMatchInlineSnapshot(`
      "error: http://127.0.0.1:1: unreachable: connect ECONNREFUSED 127.0.0.1:1
      exit 3"
    `)
  })

  it('reports a timeout when the instance does not respond', async () => {
    expect(await doTest(['--instance', '$0', '--timeout-ms', '50'], ([fake]) => fake?.setResponses('/v1/status', 'noResponse'))).toMatchInlineSnapshot(`
      "error: $0: unreachable: no response within 50 ms
      exit 3"
    `)
  })

  it('reports a response that does not match the schema', async () => {
    expect(await doTest(['--instance', '$0'], ([fake]) => fake?.setResponses('/v1/status', { phase: 'ready' }))).toMatchInlineSnapshot(`
      "error: $0: malformed: the response does not match the schema of this program version: instance: got nothing, allowed is a value is required
      exit 3"
    `)
  })

  it('shows the fleet, including instances that do not respond', async () => {
    expect(await doTest(['--fleet', '$0'], ([a, b]) => {
      const members = [
        { instance: 'i1', state: 'alive' as const, availabilityZone: 'z1' },
        { instance: 'i2', state: 'alive' as const, availabilityZone: 'z2', operatorUrl: b?.url },
        { instance: 'i3', state: 'dead' as const, availabilityZone: 'z3', operatorUrl: 'http://127.0.0.1:1' },
        { instance: 'i4', state: 'suspect' as const, availabilityZone: 'z3' }
      ]
      a?.setResponses('/v1/status', createStatus({ members, targets: TARGETS }))
      b?.setResponses('/v1/status', createStatus({ instance: 'i2', revision: 6, refused: REFUSED_RECORDS }))
    }, 2)).toMatchInlineSnapshot(`
      "instance  availability zone  state    phase        revision  list version  configuration age  requests  queued  targets        refused  error
      i1        z1                 asked    ready        7         3             1.5 s              2         1       1 of 2 active  0        -
      i2        z2                 alive    ready        6         3             1.5 s              2         1       0 of 0 active  1        -
      i3        z3                 dead     no response  -         -             -                  -         -       -              -        unreachable: connect ECONNREFUSED 127.0.0.1:1
      i4        z3                 suspect  no response  -         -             -                  -         -       -              -        its address is unknown

      revisions differ: 6, 7

      refused record  key        revision  kept revision  problems
      service gate    gate.json  7         5              pool: got nothing, allowed is a value is required
      exit 1"
    `)
  })

  it('queries members without an operator URL at the port of the queried instance', async () => {
    expect(await doTest(['--fleet', '$0'], ([fake]) => {
      const members = [{ instance: 'i2', state: 'alive' as const, availabilityZone: 'z2', url: 'http://127.0.0.1:7001' }]
      fake?.setResponses('/v1/status', createStatus({ members }), createStatus({ instance: 'i2' }))
    })).toMatchInlineSnapshot(`
      "instance  availability zone  state  phase  revision  list version  configuration age  requests  queued  targets        refused  error
      i1        -                  asked  ready  7         3             1.5 s              2         1       0 of 0 active  0        -
      i2        z2                 alive  ready  7         3             1.5 s              2         1       0 of 0 active  0        -
      exit 0"
    `)
  })

  it('reports that another instance responds at the address of a member', async () => {
    expect(await doTest(['--fleet', '$0', '--json'], ([fake]) => {
      const members = [{ instance: 'i2', state: 'alive' as const, availabilityZone: 'z2', operatorUrl: fake?.url }]
      fake?.setResponses('/v1/status', createStatus({ members }))
    })).toMatchInlineSnapshot(`
      "{
        "members": [
          {
            "instance": "i1",
            "availabilityZone": "",
            "state": "asked",
            "operatorUrl": "$0",
            "status": {
              "instance": "i1",
              "incarnation": "r1",
              "phase": "ready",
              "revision": 7,
              "listVersion": 3,
              "listAgeMs": 400,
              "configurationAgeMs": 1500,
              "requests": 2,
              "queued": 1,
              "targets": [],
              "members": [
                {
                  "instance": "i2",
                  "state": "alive",
                  "availabilityZone": "z2",
                  "operatorUrl": "$0"
                }
              ],
              "refused": []
            }
          },
          {
            "instance": "i2",
            "availabilityZone": "z2",
            "state": "alive",
            "operatorUrl": "$0",
            "error": "instance i1 responds at its address"
          }
        ]
      }
      exit 1"
    `)
  })

  it('queries several instances for the fleet, some of which do not respond', async () => {
    expect(await doTest(['--fleet', '$0,$1,http://127.0.0.1:1'], ([a, b]) => {
      const members = [{ instance: 'i2', state: 'alive' as const, availabilityZone: 'z2', url: 'http://127.0.0.1:7001' }]
      a?.setResponses('/v1/status', createStatus({ availabilityZone: 'z1', members }))
      b?.setResponses('/v1/status', createStatus({ instance: 'i2', availabilityZone: 'z2' }))
    }, 2)).toMatchInlineSnapshot(`
      "instance  availability zone  state  phase        revision  list version  configuration age  requests  queued  targets        refused  error
      -         -                  asked  no response  -         -             -                  -         -       -              -        http://127.0.0.1:1: unreachable: connect ECONNREFUSED 127.0.0.1:1
      i1        z1                 asked  ready        7         3             1.5 s              2         1       0 of 0 active  0        -
      i2        z2                 asked  ready        7         3             1.5 s              2         1       0 of 0 active  0        -
      exit 1"
    `)
  })

  it('reports that no instance of the fleet is reachable', async () => {
    expect(await doTest(['--fleet', 'http://127.0.0.1:1,http://127.0.0.1:2'], () => {}, 0)).toMatchInlineSnapshot(`
      "error: http://127.0.0.1:1: unreachable: connect ECONNREFUSED 127.0.0.1:1
      exit 3"
    `)
  })
})
