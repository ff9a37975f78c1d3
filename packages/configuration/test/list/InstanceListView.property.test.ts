import { AuditTrail, VirtualClock } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import fc from 'fast-check'
import { describe, it } from 'vitest'
import { InstanceListView } from '../../src/index.js'
import { checkList } from '../../src/sources/checkList.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']

const entry = fc.record({ id: fc.constantFrom(...NAMES), role: fc.constant('target'), state: fc.constantFrom('live', 'leaving') })
const invalidEntry = fc.oneof(fc.jsonValue(), fc.record({ id: fc.jsonValue(), role: fc.jsonValue(), state: fc.jsonValue() }))
const list = fc.oneof(
  { weight: 6, arbitrary: fc.record({ version: fc.integer({ min: 0, max: 20 }), entries: fc.array(entry, { maxLength: 8 }) }) },
  { weight: 2, arbitrary: fc.record({ version: fc.integer({ min: 0, max: 20 }), entries: fc.array(fc.oneof(entry, invalidEntry), { maxLength: 8 }) }) },
  { weight: 1, arbitrary: fc.jsonValue() }
)

/** Updates a view with lists and checks the view after each. */
function doTest (check: (view: InstanceListView, before: { version: number, entries: readonly ListedEntry[] }) => boolean): void {
  fc.assert(fc.property(fc.array(list, { maxLength: 12 }), lists => {
    const audit = AuditTrail.create({ instance: 'i', incarnation: '1' })
    const view = InstanceListView.create({ clock: VirtualClock.create(), audit })
    return lists.every(value => {
      const before = { version: view.getVersion(), entries: view.listEntries() }
      const checked = checkList(value)
      if (checked.isOk) view.update(checked.value, 'list')
      return check(view, before)
    })
  }), { seed: 61, numRuns: 500 })
}

describe('InstanceListView with arbitrary lists', () => {
  it('never decreases its version', () => doTest((view, before) => view.getVersion() >= before.version))

  it('never loses more than half of its entries at once', () =>
    doTest((view, before) => view.listEntries().length * 2 >= Math.min(before.entries.length, NAMES.length) - 1))

  it('keeps a target leaving while the version is unchanged', () =>
    doTest((view, before) => view.getVersion() !== before.version || before.entries.every(({ id, state }) =>
      state !== 'leaving' || view.getTargetState(id).state === 'leaving')))

  it('finds differences for peers that lead to the same list', () => {
    const entriesByVersion = new Map<number, ReadonlyMap<string, ListedEntry>>()
    doTest((view, before) => {
      if (before.version === 0) entriesByVersion.clear()
      entriesByVersion.set(view.getVersion(), view.getAcceptedEntries())
      return [...entriesByVersion].every(([version, base]) => {
        const difference = view.findDifference(version)
        if (difference === undefined) return true
        const merged = new Map(base)
        for (const changed of difference.changed) merged.set(changed.id, changed)
        for (const id of difference.removed) merged.delete(id)
        return describeEntries(merged) === describeEntries(view.getAcceptedEntries())
      })
    })
  })
})

function describeEntries (entries: ReadonlyMap<string, ListedEntry>): string {
  return [...entries.values()].map(({ id, state }) => `${id} ${state}`).sort().join()
}
