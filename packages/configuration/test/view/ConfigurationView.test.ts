import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { ConfigurationView } from '../../src/index.js'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'

const BASE = createValues({ targets: [createTargetItem('t1')], gate: createServiceItem('gate') })
const BAD = { ...BASE, gate: '7' }

describe('ConfigurationView', () => {
  let clock: VirtualClock
  let audit: AuditTrail
  let view: ConfigurationView

  beforeEach(() => {
    clock = VirtualClock.create()
    audit = AuditTrail.create({ instance: 'i1', incarnation: '1' })
    view = ConfigurationView.create({ clock, audit })
  })

  function doTest (...updates: Array<[Record<string, string>, number]>): object {
    const outcomes = updates.map(([values, revision]) => view.update(values, revision, 'service'))
    const events = audit.getPage(0).events.map(({ kind, subject, revision, after }) => `${kind} ${subject} ${revision} ${after ?? ''}`)
    return { outcomes, services: [...view.getSnapshot().services.keys()], revision: view.getRevision(), events }
  }

  it('accepts a higher revision and ignores a lower one', () => {
    expect(doTest([BASE, 5], [{}, 4])).toMatchInlineSnapshot(`
      {
        "events": [
          "revisionAccepted configuration 5 5",
        ],
        "outcomes": [
          "accepted",
          "older",
        ],
        "revision": 5,
        "services": [
          "gate",
        ],
      }
    `)
  })

  it('keeps the first content of a revision', () => {
    expect(doTest([BASE, 5], [{}, 5], [BASE, 5])).toMatchInlineSnapshot(`
      {
        "events": [
          "revisionAccepted configuration 5 5",
        ],
        "outcomes": [
          "accepted",
          "conflicting",
          "current",
        ],
        "revision": 5,
        "services": [
          "gate",
        ],
      }
    `)
  })

  it('records a refused record once and again when it is no longer refused', () => {
    expect(doTest([BASE, 5], [BAD, 6], [BAD, 7], [BASE, 8])).toMatchInlineSnapshot(`
      {
        "events": [
          "revisionAccepted configuration 5 5",
          "revisionAccepted configuration 6 6",
          "recordRefused gate: #1 6 revision 5 stays in force",
          "revisionAccepted configuration 7 7",
          "revisionAccepted configuration 8 8",
          "recordRestored gate: #1 8 ",
        ],
        "outcomes": [
          "accepted",
          "accepted",
          "accepted",
          "accepted",
        ],
        "revision": 8,
        "services": [
          "gate",
        ],
      }
    `)
  })

  it('keeps a deleted record deleted when a stale source returns', () => {
    expect(doTest([BASE, 5], [{}, 6], [BASE, 5])).toMatchInlineSnapshot(`
      {
        "events": [
          "revisionAccepted configuration 5 5",
          "revisionAccepted configuration 6 6",
        ],
        "outcomes": [
          "accepted",
          "accepted",
          "older",
        ],
        "revision": 6,
        "services": [],
      }
    `)
  })

  it('notifies listeners of each accepted snapshot and does not modify earlier ones', () => {
    const notifiedRevisions: number[] = []
    const remove = view.addListener(snapshot => notifiedRevisions.push(snapshot.revision))
    view.update(BASE, 1, 'service')
    const first = view.getSnapshot()
    view.update({}, 2, 'service')
    remove()
    view.update(BASE, 3, 'service')
    expect([notifiedRevisions, first.services.size]).toEqual([[1, 2], 1])
  })

  it('measures its age from the time at which the request was sent', async () => {
    expect(view.getAgeMs()).toBe(Infinity)
    await clock.advance(1000)
    view.update(BASE, 1, 'service', { sentAtMs: 400 })
    view.recordConfirmation(0, 1000)
    expect(view.getAgeMs()).toBe(600)
  })

  it('merges a predecessor that a peer kept from a higher revision', () => {
    const peer = ConfigurationView.create({ clock, audit: AuditTrail.create({ instance: 'i2', incarnation: '1' }) })
    peer.update(createValues({ targets: [createTargetItem('t1')], gate: createServiceItem('gate', { priority: 'high' }) }), 6, 'service')
    peer.update(BAD, 7, 'service')
    view.update(BASE, 5, 'service')
    view.update(BAD, 7, 'service')
    expect(view.getSnapshot().services.get('gate')?.priority).toBe('normal')
    view.applyKeptRecords(peer.listKept(), 'i2')
    expect(view.getSnapshot()).toEqual(peer.getSnapshot())
    peer.applyKeptRecords([{ key: 'gate', revision: 5, text: JSON.stringify(createServiceItem('gate')) }], 'i1')
    expect(peer.getSnapshot().services.get('gate')?.priority).toBe('high')
  })
})
