import { describe, expect, it } from 'vitest'
import { type AcceptedRecords, convertRecords, mergeKeptRecords, NO_ACCEPTED_RECORDS } from '../../src/index.js'
import { createServiceItem, createTargetItem, createValues } from '../support/records.js'

function doTest (...states: Array<Record<string, unknown>>): object {
  return describeAccepted(acceptStates(...states))
}

function acceptStates (...states: Array<Record<string, unknown>>): AcceptedRecords {
  return states.reduce<AcceptedRecords>(
    (previous, state, index) => convertRecords(createValues(state), index + 1, previous),
    NO_ACCEPTED_RECORDS
  )
}

function describeAccepted ({ snapshot, records, refused }: AcceptedRecords): object {
  return {
    records: [...records].map(([id, record]) => `${id}@${record.revision}`).sort().join(', '),
    targets: [...snapshot.services.values()].map(service => `${service.name}: ${service.targets.join(' ')} copies ${service.copies}`),
    refused: refused.map(entry => `${entry.key}, ${entry.record}, kept ${entry.keptRevision}: ${entry.problems.join('; ')}`)
  }
}

const BASE = { targets: [createTargetItem('t1'), createTargetItem('t2')], gate: createServiceItem('gate', { copies: 1 }) }

describe('convertRecords', () => {
  it('accepts both schema versions together', () => {
    const target = { schemaVersion: 1, kind: 'target', name: 't3', url: 'http://t3', availabilityZone: 'z1', region: 'r1', checksOrders: true }
    const service = { schemaVersion: 1, kind: 'service', name: 'billing', repeatable: false, deadlineSeconds: 2.5, targets: ['t3', 't1'] }
    const workspace = { schemaVersion: 1, kind: 'workspace', name: 'w', share: 3, services: ['billing', 'gate'] }
    const { snapshot, refused } = acceptStates({ ...BASE, old: [target, service, workspace] })
    expect(refused).toEqual([])
    expect(snapshot).toMatchInlineSnapshot(`
      {
        "revision": 1,
        "services": Map {
          "billing" => {
            "copies": 2,
            "deadlineMs": 2500,
            "delivery": "whole",
            "idempotent": false,
            "kind": "call",
            "name": "billing",
            "overrides": Map {},
            "priority": "normal",
            "targets": [
              "t1",
              "t3",
            ],
          },
          "gate" => {
            "copies": 1,
            "deadlineMs": 120000,
            "delivery": "whole",
            "idempotent": true,
            "kind": "generation",
            "name": "gate",
            "overrides": Map {},
            "priority": "normal",
            "runs": {
              "model": "m1",
            },
            "targets": [
              "t1",
              "t2",
            ],
          },
        },
        "targets": Map {
          "t1" => {
            "availabilityZone": "z1",
            "fencing": "ignored",
            "name": "t1",
            "region": "r1",
            "url": "http://t1",
          },
          "t2" => {
            "availabilityZone": "z1",
            "fencing": "ignored",
            "name": "t2",
            "region": "r1",
            "url": "http://t2",
          },
          "t3" => {
            "availabilityZone": "z1",
            "fencing": "enforced",
            "name": "t3",
            "region": "r1",
            "url": "http://t3",
          },
        },
        "workspaces": Map {
          "w" => {
            "name": "w",
            "services": [
              "billing",
              "gate",
            ],
            "weight": 3,
          },
        },
      }
    `)
  })

  it('refuses only the invalid record and keeps its predecessor', () => {
    expect(doTest(BASE, { ...BASE, gate: createServiceItem('gate', { copies: 0 }), more: createTargetItem('t3') })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@2, target t2@2, target t3@2",
        "refused": [
          "gate, service gate, kept 1: copies: got 0, allowed is must be >= 1",
        ],
        "targets": [
          "gate: t1 t2 t3 copies 1",
        ],
      }
    `)
  })

  it('refuses a new invalid record that has no predecessor', () => {
    expect(doTest({ ...BASE, more: createTargetItem('t3', { url: 'ftp://t3', size: 1 }) })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@1, target t2@1",
        "refused": [
          "more, target t3, kept 0: size: got 1, allowed is no such field; the fields are schemaVersion, kind, name, url, pool, availabilityZone, region, fencing; url: got "ftp://t3", allowed is must match pattern "^https?://"",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('keeps the predecessor of a record with a newer schema version', () => {
    expect(doTest(BASE, { ...BASE, gate: createServiceItem('gate', { schemaVersion: 3 }) })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@2, target t2@2",
        "refused": [
          "gate, service gate, kept 1: schemaVersion: got 3, allowed is 1, 2; this program is older than the record's schema version",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('keeps all records of a value that is not JSON', () => {
    const before = acceptStates(BASE)
    expect(describeAccepted(convertRecords({ ...createValues(BASE), targets: '[{' }, 2, before))).toMatchInlineSnapshot(`
      {
        "records": "service gate@2, target t1@1, target t2@1",
        "refused": [
          "targets, value, kept 1: value: got "[{", allowed is JSON (Expected property name or '}' in JSON at position 2)",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('keeps all records of a value that is too large', () => {
    const before = acceptStates(BASE)
    const large = JSON.stringify([createTargetItem('t1', { region: 'r'.repeat(1_048_576) })])
    expect(describeAccepted(convertRecords({ ...createValues(BASE), targets: large }, 2, before))).toMatchInlineSnapshot(`
      {
        "records": "service gate@2, target t1@1, target t2@1",
        "refused": [
          "targets, value, kept 1: value: got 1048693 bytes, allowed is at most 1048576 bytes; split the value over several keys",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('keeps the records of a value that contains a record without a name', () => {
    expect(doTest(BASE, { ...BASE, targets: [createTargetItem('t1'), createTargetItem('')] })).toMatchInlineSnapshot(`
      {
        "records": "service gate@2, target t1@2, target t2@1",
        "refused": [
          "targets, #2, kept 1: name: got "", allowed is at least 1 characters",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('refuses different records with the same name in two values', () => {
    expect(doTest(BASE, { ...BASE, other: createTargetItem('t1', { region: 'r2' }) })).toMatchInlineSnapshot(`
      {
        "records": "service gate@2, target t1@1, target t2@2",
        "refused": [
          "other, target t1, kept 1: name: got target t1, allowed is one record of this kind and name; found in other, targets",
          "targets, target t1, kept 1: name: got target t1, allowed is one record of this kind and name; found in other, targets",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('accepts the same record in two values', () => {
    expect(doTest({ ...BASE, other: createTargetItem('t1') })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@1, target t2@1",
        "refused": [],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('removes a record that is no longer published', () => {
    expect(doTest({ ...BASE, more: createTargetItem('t3') }, BASE)).toMatchInlineSnapshot(`
      {
        "records": "service gate@2, target t1@2, target t2@2",
        "refused": [],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('refuses a service whose pool is empty and keeps the targets of its predecessor', () => {
    expect(doTest(BASE, { gate: BASE.gate })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@1, target t2@1",
        "refused": [
          "gate, service gate, kept 1: pool: got pool, allowed is a pool that at least one target record belongs to",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('refuses a new service whose target is missing', () => {
    const service = { schemaVersion: 1, kind: 'service', name: 'old', targets: ['t1', 't9'] }
    expect(doTest({ ...BASE, old: service })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@1, target t2@1",
        "refused": [
          "old, service old, kept 0: targets: got t9, allowed is the name of a target record",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('refuses a workspace whose service is deleted and keeps the service for it', () => {
    const workspace = { schemaVersion: 2, kind: 'workspace', name: 'w', services: ['gate'] }
    expect(doTest({ ...BASE, workspace }, { targets: BASE.targets, workspace })).toMatchInlineSnapshot(`
      {
        "records": "service gate@1, target t1@2, target t2@2, workspace w@1",
        "refused": [
          "workspace, workspace w, kept 1: services: got gate, allowed is the name of a service record",
        ],
        "targets": [
          "gate: t1 t2 copies 1",
        ],
      }
    `)
  })

  it('removes a kept record when its successor is valid', () => {
    expect(doTest(BASE, { gate: BASE.gate }, { targets: [createTargetItem('t3')], gate: BASE.gate })).toMatchInlineSnapshot(`
      {
        "records": "service gate@3, target t3@3",
        "refused": [],
        "targets": [
          "gate: t3 copies 1",
        ],
      }
    `)
  })

  it('uses the predecessor of an invalid record that a peer keeps', () => {
    const peer = acceptStates(BASE, { ...BASE, gate: 7 })
    const values = createValues({ ...BASE, gate: 7 })
    expect(describeAccepted(convertRecords(values, 2, mergeKeptRecords(NO_ACCEPTED_RECORDS, peer.kept)))).toEqual(describeAccepted(peer))
  })

  it('does not restore a deleted record that a peer keeps', () => {
    const peer = acceptStates(BASE, { gate: BASE.gate })
    const values = createValues({ targets: [createTargetItem('t3')], gate: BASE.gate })
    expect(describeAccepted(convertRecords(values, 3, mergeKeptRecords(NO_ACCEPTED_RECORDS, peer.kept)))).toMatchInlineSnapshot(`
      {
        "records": "service gate@3, target t3@3",
        "refused": [],
        "targets": [
          "gate: t3 copies 1",
        ],
      }
    `)
  })
})
