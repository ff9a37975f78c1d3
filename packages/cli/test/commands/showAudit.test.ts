import { type AuditEvent, type AuditPage } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { doCliTest } from '../support/doCliTest.js'
import { type FakeOperator } from '../support/FakeOperator.js'

const EVENT: AuditEvent = {
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
const ORDER: AuditEvent = { ...EVENT, sequence: 2, kind: 'orderGiven', subject: 'e1', cause: 'record changed', before: undefined, after: undefined, fence: 70, answer: 'accepted' }

function createPage (events: AuditEvent[], changes: Partial<AuditPage> = {}): AuditPage {
  return { instance: 'i1', incarnation: 'r1', oldest: 1, events, ...changes }
}

async function doTest (args: readonly string[], prepare: (fake: FakeOperator) => void): Promise<string> {
  return await doCliTest({ args: ['audit', '--instance', '$0', ...args], prepare: ({ fakes: [fake] }) => { if (fake !== undefined) prepare(fake) } })
}

/** Follows a trail and ends the command once every prepared answer of a path has been taken. */
async function doFollowTest (prepare: (fake: FakeOperator) => void, asks: number, ...args: string[]): Promise<string> {
  let sleeps = 0
  let interrupt = (): void => {}
  const clock = {
    nowMs: () => 0,
    startTimer: () => () => {},
    sleep: async () => { if (++sleeps >= asks) interrupt() }
  }
  return await doCliTest({
    args: ['audit', '--instance', '$0', '--follow', ...args],
    clock,
    prepare: test => {
      interrupt = test.interrupt
      if (test.fakes[0] !== undefined) prepare(test.fakes[0])
    }
  })
}

describe('showAudit', () => {
  it('shows changes as a table', async () => {
    expect(await doTest([], fake => fake.setAnswers('/v1/audit?after=0', createPage([EVENT, ORDER])))).toMatchInlineSnapshot(`
      "number  time                      change            subject  revision  before  after  fence  answer    cause
      1       2030-01-01T00:00:00.000Z  revisionAccepted  records  7         6       7      -      -         read from the configuration service
      2       2030-01-01T00:00:00.000Z  orderGiven        e1       7         -       -      70     accepted  record changed
      exit 0"
    `)
  })

  it('shows changes after a number', async () => {
    expect(await doTest(['--after', '1'], fake => fake.setAnswers('/v1/audit?after=1', createPage([ORDER])))).toMatchInlineSnapshot(`
      "number  time                      change      subject  revision  before  after  fence  answer    cause
      2       2030-01-01T00:00:00.000Z  orderGiven  e1       7         -       -      70     accepted  record changed
      exit 0"
    `)
  })

  it('says that there are no changes', async () => {
    expect(await doTest([], fake => fake.setAnswers('/v1/audit?after=0', createPage([])))).toMatchInlineSnapshot(`
      "no changes
      exit 0"
    `)
  })

  it('says which changes are no longer held', async () => {
    expect(await doTest([], fake => fake.setAnswers('/v1/audit?after=0', createPage([ORDER], { oldest: 2 })))).toMatchInlineSnapshot(`
      "changes 1 to 1 are no longer held
      number  time                      change      subject  revision  before  after  fence  answer    cause
      2       2030-01-01T00:00:00.000Z  orderGiven  e1       7         -       -      70     accepted  record changed
      exit 0"
    `)
  })

  it('prints JSON for programs', async () => {
    expect(await doTest(['--json'], fake => fake.setAnswers('/v1/audit?after=0', createPage([EVENT])))).toMatchInlineSnapshot(`
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

  it('follows changes one a line', async () => {
    expect(await doFollowTest(fake => {
      fake.setAnswers('/v1/audit?after=0', createPage([EVENT]))
      fake.setAnswers('/v1/audit?after=1', createPage([]), createPage([ORDER]))
      fake.setAnswers('/v1/audit?after=2', createPage([]))
    }, 4)).toMatchInlineSnapshot(`
      "1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      2  2030-01-01T00:00:00.000Z  orderGiven  e1  revision 7  fence 70, answer accepted  record changed
      exit 0"
    `)
  })

  it('follows changes as lines of JSON', async () => {
    expect(await doFollowTest(fake => {
      fake.setAnswers('/v1/audit?after=0', createPage([ORDER]))
    }, 1, '--json')).toMatchInlineSnapshot(`
      "{"sequence":2,"time":"2030-01-01T00:00:00.000Z","instance":"i1","kind":"orderGiven","subject":"e1","revision":7,"cause":"record changed","fence":70,"answer":"accepted"}
      exit 0"
    `)
  })

  it('begins anew when the instance has restarted', async () => {
    expect(await doFollowTest(fake => {
      fake.setAnswers('/v1/audit?after=0', createPage([EVENT, ORDER]), createPage([EVENT], { incarnation: 'r2' }))
      fake.setAnswers('/v1/audit?after=2', createPage([], { incarnation: 'r2' }))
      fake.setAnswers('/v1/audit?after=1', createPage([], { incarnation: 'r2' }))
    }, 3)).toMatchInlineSnapshot(`
      "1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      2  2030-01-01T00:00:00.000Z  orderGiven  e1  revision 7  fence 70, answer accepted  record changed
      error: i1 has restarted as r2
      1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      exit 0"
    `)
  })

  it('tries again when the instance does not answer', async () => {
    expect(await doFollowTest(fake => {
      fake.setAnswers('/v1/audit?after=0', createPage([EVENT]))
      fake.answers.set('/v1/audit?after=1', [{ status: 500, body: {} }, { status: 500, body: {} }, { status: 200, body: createPage([ORDER]) }])
      fake.setAnswers('/v1/audit?after=2', createPage([]))
    }, 5)).toMatchInlineSnapshot(`
      "1  2030-01-01T00:00:00.000Z  revisionAccepted  records  revision 7  6 -> 7  read from the configuration service
      error: $0: refused: HTTP status 500; trying again
      2  2030-01-01T00:00:00.000Z  orderGiven  e1  revision 7  fence 70, answer accepted  record changed
      exit 0"
    `)
  })
})
