import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { doCliTest } from '../support/doCliTest.js'

/** Writes files into a temporary folder and checks the given paths in it. Replaces the path of the folder by `DIR` in the output. */
async function doTest (files: Readonly<Record<string, unknown>>, paths: readonly string[] = ['.'], ...options: string[]): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'fescuespoke-records-'))
  try {
    for (const [name, value] of Object.entries(files)) {
      await mkdir(dirname(join(folder, name)), { recursive: true })
      await writeFile(join(folder, name), typeof value === 'string' ? value : JSON.stringify(value))
    }
    const printed = await doCliTest({ args: ['check-records', ...paths.map(path => join(folder, path)), ...options], fakeCount: 0 })
    return printed.replaceAll(folder, 'DIR').replace(/(?<=\S) {2,}/g, '  ').replace(/JSON \(.*\)/, 'JSON (where)')
  } finally {
    await rm(folder, { recursive: true })
  }
}

const WORKSPACE = { schemaVersion: 2, kind: 'workspace', name: 'w', weight: 2 }
const TARGET = { schemaVersion: 2, kind: 'target', name: 't', url: 'http://10.0.0.1:9000', pool: 'gates', availabilityZone: 'z1', region: 'r' }
const SERVICE = { schemaVersion: 2, kind: 'service', name: 's', pool: 'gates' }

describe('checkRecordFiles', () => {
  it('accepts valid records', async () => {
    expect(await doTest({ 'all.json': [WORKSPACE, TARGET, SERVICE] })).toMatchInlineSnapshot(`
      "1 files: 1 services, 1 targets and 1 workspaces are valid, 0 records would be refused
      exit 0"
    `)
  })

  it('reads nested folders and ignores files with other extensions', async () => {
    expect(await doTest({ 'a/w.json': WORKSPACE, 'b/t.json': TARGET, 'README.md': 'text' })).toMatchInlineSnapshot(`
      "2 files: 0 services, 1 targets and 1 workspaces are valid, 0 records would be refused
      exit 0"
    `)
  })

  it('lists every problem of a record', async () => {
    expect(await doTest({ 'all.json': [{ ...WORKSPACE, weight: 0, colour: 'red' }, TARGET] })).toMatchInlineSnapshot(`
      "file  record  problem
      DIR/all.json  workspace w  colour: got "red", allowed is no such field; the fields are schemaVersion, kind, name, weight, services
      DIR/all.json  workspace w  weight: got 0, allowed is must be > 0

      1 files: 0 services, 1 targets and 0 workspaces are valid, 1 records would be refused
      exit 1"
    `)
  })

  it('lists files that are not JSON', async () => {
    expect(await doTest({ 'a.json': WORKSPACE, 'b.json': '{' }, ['a.json', 'b.json'])).toMatchInlineSnapshot(`
      "file  record  problem
      DIR/b.json  value  value: got "{", allowed is JSON (where)

      2 files: 0 services, 0 targets and 1 workspaces are valid, 1 records would be refused
      exit 1"
    `)
  })

  it('prints JSON', async () => {
    expect(await doTest({ 'w.json': { ...WORKSPACE, schemaVersion: 9 } }, ['w.json'], '--json')).toMatchInlineSnapshot(`
      "{
        "services": 0,
        "targets": 0,
        "workspaces": 0,
        "refused": [
          {
            "key": "DIR/w.json",
            "record": "workspace w",
            "problems": [
              "schemaVersion: got 9, allowed is 1, 2; this program is older than the record's schema version"
            ],
            "revision": 1,
            "keptRevision": 0
          }
        ]
      }
      exit 1"
    `)
  })
})
