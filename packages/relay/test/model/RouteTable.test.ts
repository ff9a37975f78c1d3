import { describe, expect, it } from 'vitest'
import { RouteTable } from '../../src/model/RouteTable.js'
import { createConfiguration, createRoute } from '../support/createTestDependencies.js'

const table = RouteTable.create(createConfiguration([
  createRoute({ name: 'all', host: 'a.example', prefix: '/' }),
  createRoute({ name: 'deep', host: 'a.example', prefix: '/x/y/' }),
  createRoute({ name: 'near', host: 'a.example', prefix: '/x/' }),
  createRoute({ name: 'other', host: 'b.example', prefix: '/x/', isPublic: false })
], { keys: new Map([['k', { workspace: 'w' }]]) }))

function doTest (host: string, path: string): string {
  return table.findRoute(host, path).map(({ name }) => name).unwrapOr('none')
}

describe('findRoute', () => {
  it('takes the longest prefix', () => expect(doTest('a.example', '/x/y/z')).toBe('deep'))
  it('takes a shorter prefix', () => expect(doTest('a.example', '/x/z')).toBe('near'))
  it('needs the slash at the end of a prefix', () => expect(doTest('a.example', '/x')).toBe('all'))
  it('keeps hosts apart', () => expect(doTest('b.example', '/z')).toBe('none'))
  it('ignores the port of the host', () => expect(doTest('a.example:8080', '/x/y/')).toBe('deep'))
  it('ignores the case of the host', () => expect(doTest('A.Example', '/')).toBe('all'))
  it('knows no other host', () => expect(doTest('c.example', '/')).toBe('none'))
})

describe('keys', () => {
  it('have a holder', () => expect(table.findKeyHolder('k').map(({ workspace }) => workspace).unwrapOr('none')).toBe('w'))
  it('may be unknown', () => expect(table.findKeyHolder('z').isNothing).toBe(true))
  it('are needed for routes that are not public', () => {
    expect([true, false].map(isPublic => table.requiresKey(createRoute({ isPublic })))).toEqual([false, true])
  })

  it('are needed nowhere without workspaces', () => {
    expect(RouteTable.create(createConfiguration([])).requiresKey(createRoute({ isPublic: false }))).toBe(false)
  })
})
