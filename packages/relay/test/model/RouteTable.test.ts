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
  it('selects the longest matching prefix', () => expect(doTest('a.example', '/x/y/z')).toBe('deep'))
  it('selects a shorter prefix when the longest does not match', () => expect(doTest('a.example', '/x/z')).toBe('near'))
  it('requires the slash at the end of a prefix', () => expect(doTest('a.example', '/x')).toBe('all'))
  it('does not match the routes of another host', () => expect(doTest('b.example', '/z')).toBe('none'))
  it('ignores the port of the host', () => expect(doTest('a.example:8080', '/x/y/')).toBe('deep'))
  it('ignores the letter case of the host', () => expect(doTest('A.Example', '/')).toBe('all'))
  it('finds no route of an unknown host', () => expect(doTest('c.example', '/')).toBe('none'))
})

describe('API keys', () => {
  it('belong to a workspace', () => expect(table.findKeyHolder('k').map(({ workspace }) => workspace).unwrapOr('none')).toBe('w'))
  it('may be unknown', () => expect(table.findKeyHolder('z').isNothing).toBe(true))
  it('are required for routes that are not public', () => {
    expect([true, false].map(isPublic => table.requiresKey(createRoute({ isPublic })))).toEqual([false, true])
  })

  it('are not required without workspaces', () => {
    expect(RouteTable.create(createConfiguration([])).requiresKey(createRoute({ isPublic: false }))).toBe(false)
  })
})

describe('findHomeRegions', () => {
  /** Returns the home regions of a host whose routes have lists of regions. */
  function doTest (...lists: Array<readonly string[] | undefined>): readonly string[] | undefined {
    const routes = lists.map((allowedRegions, index) => createRoute({ name: `r${index}`, host: 'a.example', prefix: `/${index}/`, allowedRegions }))
    return RouteTable.create(createConfiguration(routes)).findHomeRegions('A.example:80')
  }

  it('finds none of an unknown host', () => expect(doTest()).toBeUndefined())
  it('finds those of all routes', () => expect(doTest(['r1'], ['r2', 'r1'])).toEqual(['r1', 'r2']))
  it('finds none when a route allows all regions', () => expect([doTest(['r1'], undefined), doTest(['r1'], [])]).toEqual([undefined, undefined]))
})
