import fc from 'fast-check'
import { describe, it } from 'vitest'
import { type AcceptedRecords, convertRecords, NO_ACCEPTED_RECORDS } from '../../src/index.js'
import { createServiceItem, createTargetItem } from '../support/records.js'

const NAMES = ['a', 'b', 'c']

const target = fc.record({ name: fc.constantFrom(...NAMES), pool: fc.constantFrom('p', 'q') })
  .map(({ name, pool }) => createTargetItem(name, { pool }))
const service = fc.record({ name: fc.constantFrom(...NAMES), pool: fc.constantFrom('p', 'q', 'none') })
  .map(({ name, pool }) => createServiceItem(name, { pool }))
const oldService = fc.record({ name: fc.constantFrom(...NAMES), targets: fc.subarray(NAMES, { minLength: 1 }) })
  .map(fields => ({ schemaVersion: 1, kind: 'service', ...fields }))
const workspace = fc.record({ name: fc.constantFrom(...NAMES), services: fc.subarray(NAMES) })
  .map(fields => ({ schemaVersion: 2, kind: 'workspace', ...fields }))
const damaged = fc.oneof(target, service, oldService, workspace)
  .chain(item => fc.constantFrom('schemaVersion', 'name', 'kind', 'pool').chain(field =>
    fc.jsonValue().map(value => ({ ...item, [field]: value }))))
const item = fc.oneof(
  { weight: 5, arbitrary: target },
  { weight: 3, arbitrary: service },
  { weight: 2, arbitrary: oldService },
  { weight: 2, arbitrary: workspace },
  { weight: 2, arbitrary: damaged },
  { weight: 1, arbitrary: fc.jsonValue() }
)
const value = fc.oneof({ weight: 9, arbitrary: fc.array(item, { maxLength: 6 }).map(items => JSON.stringify(items)) }, fc.string())
const state = fc.dictionary(fc.constantFrom('k1', 'k2', 'k3'), value)
const states = fc.array(state, { minLength: 1, maxLength: 5 })

function doTest (check: (before: AcceptedRecords, after: AcceptedRecords) => boolean): void {
  fc.assert(fc.property(states, history => {
    let before = NO_ACCEPTED_RECORDS
    return history.every((values, index) => {
      const after = convertRecords(values, index + 1, before)
      const isSatisfied = check(before, after)
      before = after
      return isSatisfied
    })
  }), { seed: 11, numRuns: 150 })
}

describe('convertRecords with arbitrary values', () => {
  it('accepts only records whose references resolve', () => {
    doTest((before, { snapshot }) =>
      [...snapshot.services.values()].every(({ targets }) => targets.length > 0 && targets.every(name => snapshot.targets.has(name))) &&
      [...snapshot.workspaces.values()].every(({ services = [] }) => services.every(name => snapshot.services.has(name))))
  })

  it('keeps every record in force that is refused in its new form', () => {
    doTest((before, { records, refused }) =>
      refused.every(({ record }) => !before.records.has(record) || records.has(record)))
  })

  it('reports a problem for each refused record', () => {
    doTest((before, { refused }) => refused.every(({ problems }) => problems.length > 0))
  })

  it('keeps the same records when the same values are converted again', () => {
    fc.assert(fc.property(states, history => {
      const accepted = history.reduce((before, values, index) => convertRecords(values, index + 1, before), NO_ACCEPTED_RECORDS)
      const again = convertRecords(history.at(-1) ?? {}, accepted.revision, accepted)
      return [...again.records.keys()].sort().join() === [...accepted.records.keys()].sort().join()
    }), { seed: 12, numRuns: 150 })
  })
})
