import { readdirSync, readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { checkRecords } from '../../src/index.js'

function doTest (name: string): object {
  const folder = new URL(`../../../../examples/${name}/`, import.meta.url)
  const files = readdirSync(folder).filter(file => file.endsWith('.json'))
  return checkRecords(files.map(file => ({ name: file, text: readFileSync(new URL(file, folder), 'utf8') })))
}

describe('examples', () => {
  it('are accepted for the spas', () => {
    expect(doTest('spas')).toMatchInlineSnapshot(`
      {
        "refused": [],
        "services": 3,
        "targets": 13,
        "workspaces": 10,
      }
    `)
  })

  it('are accepted for the garages', () => {
    expect(doTest('garages')).toMatchInlineSnapshot(`
      {
        "refused": [],
        "services": 4,
        "targets": 9,
        "workspaces": 10,
      }
    `)
  })
})
