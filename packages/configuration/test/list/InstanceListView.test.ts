import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import { beforeEach, describe, expect, it } from 'vitest'
import { InstanceListView } from '../../src/index.js'

function createEntries (...names: string[]): ListedEntry[] {
  return names.map(name => ({ id: name.replace('-', ''), role: 'target', state: name.endsWith('-') ? 'leaving' : 'live' }))
}

describe('InstanceListView', () => {
  let clock: VirtualClock
  let audit: AuditTrail
  let view: InstanceListView

  beforeEach(() => {
    clock = VirtualClock.create()
    audit = AuditTrail.create({ instance: 'i1', incarnation: '1' })
    view = InstanceListView.create({ clock, audit })
  })

  /** Updates the view with lists. Each is written as its version and names; a name that ends with a dash is leaving. */
  function doTest (...lists: string[]): object {
    const outcomes = lists.map(text => {
      const [version, ...names] = text.split(' ')
      return view.update({ version: Number(version), entries: createEntries(...names) }, 'list')
    })
    const entries = view.listEntries().map(({ id }) => `${id} ${view.getTargetState(id).state}`)
    const events = audit.getPage(0).events.map(({ kind, subject }) => `${kind} ${subject}`)
    return { outcomes, version: view.getVersion(), entries, events }
  }

  it('accepts a list of a higher version', () => {
    expect(doTest('1 a b c', '2 a b- d')).toMatchInlineSnapshot(`
      {
        "entries": [
          "a active",
          "b leaving",
          "d active",
        ],
        "events": [
          "targetLeaving b",
          "targetJoined d",
          "targetLeft c",
        ],
        "outcomes": [
          "accepted",
          "accepted",
        ],
        "version": 2,
      }
    `)
  })

  it('ignores a list of a lower version', () => {
    expect(doTest('2 a b', '1 c d')).toMatchInlineSnapshot(`
      {
        "entries": [
          "a active",
          "b active",
        ],
        "events": [],
        "outcomes": [
          "accepted",
          "older",
        ],
        "version": 2,
      }
    `)
  })

  it('keeps the last accepted list when the new one is empty', () => {
    expect(doTest('1 a b', '2')).toMatchInlineSnapshot(`
      {
        "entries": [
          "a active",
          "b active",
        ],
        "events": [],
        "outcomes": [
          "accepted",
          "empty",
        ],
        "version": 1,
      }
    `)
  })

  it('removes no entries when the list shrinks to less than half, but merges leaving states and additions', () => {
    expect(doTest('1 a b c d e', '9 a- f', '2 a b c d e')).toMatchInlineSnapshot(`
      {
        "entries": [
          "a leaving",
          "b active",
          "c active",
          "d active",
          "e active",
        ],
        "events": [
          "targetLeaving a",
          "targetJoined f",
          "targetLeft f",
        ],
        "outcomes": [
          "accepted",
          "shrunk",
          "accepted",
        ],
        "version": 2,
      }
    `)
  })

  it('keeps a target leaving after its removal from the list', () => {
    doTest('1 a b c', '2 a- b c', '3 b c')
    expect(view.getTargetState('a').state).toBe('leaving')
    doTest('4 a b c')
    expect(view.getTargetState('a').state).toBe('active')
  })

  it('keeps a target leaving until a version later than the shrunk list lists it as live', () => {
    doTest('1 a b c d e', '3 a-', '2 a b c d e')
    expect(view.getTargetState('a').state).toBe('leaving')
    doTest('4 a b c d e')
    expect(view.getTargetState('a').state).toBe('active')
  })

  it('keeps a target leaving when the same version lists it as live', () => {
    doTest('1 a- b', '1 a b')
    expect(view.getTargetState('a').state).toBe('leaving')
  })

  it('measures the age of a state from the time at which the request was sent', async () => {
    doTest('1 a b')
    await clock.advance(900)
    view.recordConfirmation(1, 300)
    view.recordConfirmation(2, 900)
    expect(view.getTargetState('a')).toEqual({ state: 'active', ageMs: 600 })
    expect(view.getTargetState('z')).toEqual({ state: 'unknown', ageMs: Infinity })
  })

  it('finds the differences since an earlier version', () => {
    doTest('3 a b c', '4 a b- c', '6 a b- d')
    expect([3, 4, 6, 2].map(version => view.findDifference(version))).toMatchInlineSnapshot(`
      [
        {
          "changed": [
            {
              "id": "b",
              "role": "target",
              "state": "leaving",
            },
            {
              "id": "d",
              "role": "target",
              "state": "live",
            },
          ],
          "removed": [
            "c",
          ],
        },
        {
          "changed": [
            {
              "id": "d",
              "role": "target",
              "state": "live",
            },
          ],
          "removed": [
            "c",
          ],
        },
        {
          "changed": [],
          "removed": [],
        },
        undefined,
      ]
    `)
  })
})
