import { describe, expect, it } from 'vitest'
import { createValidator, formatProblem, type SchemaName } from '../../src/index.js'

function doTest (schema: SchemaName, definition: string, value: unknown): string[] {
  return createValidator(schema, definition)(value).match({
    Ok: valid => [JSON.stringify(valid)],
    Err: problems => problems.map(formatProblem)
  })
}

describe('createValidator', () => {
  it('accepts a valid lease request', () => {
    expect(doTest('caller', 'LeaseRequest', { workspace: 'w' })).toMatchInlineSnapshot(`
      [
        "{"workspace":"w"}",
      ]
    `)
  })

  it('reports a missing field', () => {
    expect(doTest('caller', 'LeaseRequest', {})).toMatchInlineSnapshot(`
      [
        "workspace: got nothing, allowed is a value is required",
      ]
    `)
  })

  it('reports an unknown field with its value', () => {
    expect(doTest('caller', 'LeaseRequest', { workspace: 'w', size: 3 })).toMatchInlineSnapshot(`
      [
        "size: got 3, allowed is no such field; the fields are workspace",
      ]
    `)
  })

  it('lists the allowed values of a string union', () => {
    expect(doTest('caller', 'SubmitRequest', { service: 's', priority: 'urgent' })).toMatchInlineSnapshot(`
      [
        "priority: got "urgent", allowed is high, normal, low",
      ]
    `)
  })

  it('reports the minimum length of a string', () => {
    expect(doTest('caller', 'LeaseRequest', { workspace: '' })).toEqual(['workspace: got "", allowed is at least 1 characters'])
  })

  it('converts settings to numbers and fills in defaults', () => {
    expect(doTest('settings', 'LogSettings', { countersMs: '5000' })).toMatchInlineSnapshot(`
      [
        "{"countersMs":5000,"level":"info"}",
      ]
    `)
  })

  it('reports only the first problem in a message between instances', () => {
    const news = { members: Array(100).fill(0), revision: 1, listVersion: 1, listAgeMs: 1 }
    expect(doTest('peer', 'Ping', { type: 'ping', news })).toMatchInlineSnapshot(`
      [
        "news.members.0: got 0, allowed is must be object",
      ]
    `)
  })
})
