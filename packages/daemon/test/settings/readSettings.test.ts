import { describe, expect, it } from 'vitest'
import { parseSettings } from '../../src/index.js'

const VALID = `
[instance]
id = entry-1
availabilityZone = a
region = r
fleet = f
fleetKey = sixteen characters
[platform]
configurationUrl = http://127.0.0.1:1
instanceListUrl = http://127.0.0.1:2
`

function doTest (text: string): string[] {
  return parseSettings(text).match({ Ok: () => [], Err: problems => problems })
}

describe('parseSettings', () => {
  it('accepts the minimal settings and applies defaults', () => {
    expect(parseSettings(VALID).map(({ requests, log }) => ({ leaseMs: requests.leaseMs, level: log.level })).unwrapOr(undefined)).toMatchInlineSnapshot(`
      {
        "leaseMs": 120000,
        "level": "info",
      }
    `)
  })

  it('reports missing settings', () => {
    expect(doTest('')).toMatchInlineSnapshot(`
      [
        "instance.id: got nothing, allowed is a value is required",
        "instance.availabilityZone: got nothing, allowed is a value is required",
        "instance.region: got nothing, allowed is a value is required",
        "instance.fleet: got nothing, allowed is a value is required",
        "instance.fleetKey: got nothing, allowed is a value is required",
        "platform.configurationUrl: got nothing, allowed is a value is required",
        "platform.instanceListUrl: got nothing, allowed is a value is required",
      ]
    `)
  })

  it('reports a value that is not a number', () => {
    expect(doTest(`${VALID}[requests]\nleaseMs = soon\n`)).toMatchInlineSnapshot(`
      [
        "requests.leaseMs: got "soon", allowed is must be integer",
      ]
    `)
  })

  it('reports a value that is out of range', () => {
    expect(doTest(`${VALID}[requests]\nleaseMs = 5\n`)).toMatchInlineSnapshot(`
      [
        "requests.leaseMs: got 5, allowed is must be >= 1000",
      ]
    `)
  })

  it('reports an unknown key and an unknown section', () => {
    expect(doTest(`${VALID}[log]\nlevels = info\n[extras]\na = 1\n`)).toMatchInlineSnapshot(`
      [
        "extras: got {"a":"1"}, allowed is no such field; the fields are instance, platform, requests, peers, scheduling, log",
        "log.levels: got "info", allowed is no such field; the fields are level, countersMs",
      ]
    `)
  })

  it('reports a value that is not allowed', () => {
    expect(doTest(`${VALID}[log]\nlevel = loud\n`)).toMatchInlineSnapshot(`
      [
        "log.level: got "loud", allowed is debug, info, warn, error",
      ]
    `)
  })
})
