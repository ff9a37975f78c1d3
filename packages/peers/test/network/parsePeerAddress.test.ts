import { describe, expect, it } from 'vitest'
import { parsePeerAddress } from '../../src/index.js'

function doTest (text: string): string {
  return parsePeerAddress(text).match({ Just: ({ host, port }) => `${host} ${port}`, Nothing: () => 'nothing' })
}

describe('parsePeerAddress', () => {
  it('parses host and port', () => {
    expect(doTest('10.1.2.3:7000')).toMatchInlineSnapshot('"10.1.2.3 7000"')
  })

  it('parses an IPv6 host in brackets', () => {
    expect(doTest('[::1]:7000')).toMatchInlineSnapshot('"::1 7000"')
  })

  it('rejects addresses without a host or a valid port', () => {
    expect(['host', 'host:', 'host:0', 'host:65536', 'host:1e3', ':7000', ''].map(doTest)).toEqual(Array(7).fill('nothing'))
  })
})
