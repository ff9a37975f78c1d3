import { type AuditEvent, type AuditPage } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { doCliTest } from '../support/doCliTest.js'
import { type FakeOperatorServer } from '../support/FakeOperatorServer.js'

const REVISION_EVENT: AuditEvent = {
  sequence: 1,
  time: '2030-01-01T00:00:00.000Z',
  instance: 'i1',
  kind: 'revisionAccepted',
  subject: 'records',
  revision: 7,
  cause: 'read from the configuration service',
  before: '6',
  after: '7'
}
const ORDER_EVENT: AuditEvent = { ...REVISION_EVENT, sequence: 2, kind: 'orderGiven', subject: 'e1', cause: 'record changed', before: undefined, after: undefined, fence: 70, answer: 'accepted' }

function createPage (events: AuditEvent[], overrides: Partial<AuditPage> = {}): AuditPage {
  return { instance: 'i1', incarnation: 'r1', oldest: 1, events, ...overrides }
}

async function doTest (args: readonly string[], prepare: (fake: FakeOperatorServer) => void): Promise<string> {
  return await doCliTest({ args: ['audit', '--instance', '$0', ...args], prepare: ({ fakes: [fake] }) => { if (fake !== undefined) prepare(fake) } })
}

/** Runs the command with `--follow` and interrupts it after the given number of sleeps between polls. */
async function doFollowTest (prepare: (fake: FakeOperatorServer) => void, maxSleeps: number, ...args: string[]): Promise<string> {
  let sleepCount = 0
  let interrupt = (): void => {}
  const clock = {
    nowMs: () => 0,
    startTimer: () => () => {},
    sleep: async () => { if (++sleepCount >= maxSleeps) interrupt() }
  }
  return await doCliTest({
    args: ['audit', '--instance', '$0', '--follow', ...args],
    clock,
    prepare: testContext => {
      interrupt = testContext.interrupt
      if (testContext.fakes[0] !== undefined) prepare(testContext.fakes[0])
    }
  })
}

describe('showAudit', () => {
  it('shows changes as a table', async () => {
    expect(await doTest([], fake => fake.setResponses('/v1/audit?after=0', createPage([REVISION_EVENT, ORDER_EVENT])))).toMatchInlineSnapshot(`
      "sequence  time                      change            subject  revision  before  after  fence  answer    cause
      1         2030-01-01T00:00:00.000Z  revisionAccepted  records  7         6       7      -      -         read from the configuration service
      2         2030-01-01T00:00:00.000Z  orderGiven        e1       7         -       -      70     accepted  record changed
      exit 0"
    `)
  })

  it('shows changes after a sequence number', async () => {
    expect(await doTest(['--after', '1'], fake => fake.setResponses('/v1/audit?after=1', createPage([ORDER_EVENT])))).toMatchInlineSnapshot(`
      "sequence  time                      change      subject  revision  before  after  fence  answer    cause
      2         2030-01-01T00:00:00.000Z  orderGiven  e1       7         -       -      70     accepted  record changed
      exit 0"
    `)
  })

  it('reports that there are no changes', async () => {
    expect(await doTest([], fake => fake.setResponses('/v1/audit?after=0', createPage([])))).toMatchInlineSnapshot(`
      "no changes
      exit 0"
    `)
  })

  it('reports changes that are no longer retained', async () => {
    expect(await doTest([], fake => fake.setResponses('/v1/audit?after=0', createPage([ORDER_EVENT], { oldest: 2 })))).toMatchInlineSnapshot(`
      "changes 1 to 1 are no longer retained
      sequence  time                      change      subject  revision  before  after  fence  answer    cause
      2         2030-01-01T00:00:00.000Z  orderGiven  e1       7         -       -      70     accepted  record changed
      exit 0"
    `)
  })

  it('prints JSON', async () => {
    expect(await doTest(['--json'], fake => fake.setResponses('/v1/audit?after=0', createPage([REVISION_EVENT])))).toMatchInlineSnapshot(`
      "{
        "instance": "i1",
        "incarnation": "r1",
        "oldest": 1,
        "events": [
          {
            "sequence": 1,
            "time": "2030-01-01T00:00:00.000Z",
            "instance": "i1",
            "kind": "revisionAccepted",
            "subject": "records",
            "revision": 7,
            "cause": "read from the configuration service",
            "before": "6",
            "after": "7"
          }
        ]
      }
      exit 0"
    `)
  })

  it('follows changes and prints one per line', async () => {
    expect(await doFollowTest(fake => {
      fake.setResponses('/v1/audit?after=0', createPage([REVISION_EVENT]))
      fake.setResponses('/v1/audit?after=1', createPage([]), createPage([ORDER_EVENT]))
      fake.setResponses('/v1/audit?after=2', createPage([]))
    }, 4)).toMatchInlineSnapshot(`
      "1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      2  2030-01-01T00:00:00.000Z  orderGiven  e1  revision 7  fence 70, answer accepted  record changed
      exit 0"
    `)
  })

  it('follows changes and prints one JSON object per line', async () => {
    expect(await doFollowTest(fake => {
      fake.setResponses('/v1/audit?after=0', createPage([ORDER_EVENT]))
    }, 1, '--json')).toMatchInlineSnapshot(`
      "{"sequence":2,"time":"2030-01-01T00:00:00.000Z","instance":"i1","kind":"orderGiven","subject":"e1","revision":7,"cause":"record changed","fence":70,"answer":"accepted"}
      exit 0"
    `)
  })

  it('reads the new trail from its start when the instance has restarted', async () => {
    expect(await doFollowTest(fake => {
      fake.setResponses('/v1/audit?after=0', createPage([REVISION_EVENT, ORDER_EVENT]), createPage([REVISION_EVENT], { incarnation: 'r2' }))
      fake.setResponses('/v1/audit?after=2', createPage([], { incarnation: 'r2' }))
      fake.setResponses('/v1/audit?after=1', createPage([], { incarnation: 'r2' }))
    }, 3)).toMatchInlineSnapshot(`
      "1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      2  2030-01-01T00:00:00.000Z  orderGiven  e1  revision 7  fence 70, answer accepted  record changed
      error: i1 has restarted, new incarnation r2
      1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      exit 0"
    `)
  })

  it('retries when the instance returns an error', async () => {
    expect(await doFollowTest(fake => {
      fake.setResponses('/v1/audit?after=0', createPage([REVISION_EVENT]))
      fake.responses.set('/v1/audit?after=1', [{ status: 500, body: {} }, { status: 500, body: {} }, { status: 200, body: createPage([ORDER_EVENT]) }])
      fake.setResponses('/v1/audit?after=2', createPage([]))
    }, 5)).toMatchInlineSnapshot(`
      "1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      error: $0: refused: HTTP status 500; retrying
      2  2030-01-01T00:00:00.000Z  orderGiven  e1  revision 7  fence 70, answer accepted  record changed
      exit 0"
    `)
  })
})
