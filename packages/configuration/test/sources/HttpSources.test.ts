import { SystemClock } from '@fescuespoke/common'
import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpConfigurationSource, HttpInstanceListSource } from '../../src/index.js'

const servers: Server[] = []

afterEach(async () => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
})

async function doTest (status: number, body: string, read: (url: string) => Promise<unknown>): Promise<unknown> {
  const urls: string[] = []
  const server = createServer((request, response) => {
    urls.push(request.url ?? '')
    response.writeHead(status).end(body)
  })
  servers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const outcome = await read(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  return { urls, outcome: JSON.parse(JSON.stringify(outcome)) as unknown }
}

const readValues = (url: string): Promise<unknown> => HttpConfigurationSource.create({ url, clock: SystemClock.create() }).fetchSnapshot()
const readChange = (url: string): Promise<unknown> => HttpConfigurationSource.create({ url, clock: SystemClock.create() }).fetchChange(4, 50)
const readList = (url: string): Promise<unknown> => HttpInstanceListSource.create({ url, clock: SystemClock.create() }).fetchList(2, 50)

describe('sources over HTTP', () => {
  it('reads the published state', async () => {
    expect(await doTest(200, '{"revision":4,"values":{"k":"{}"}}', readValues)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "value": {
            "revision": 4,
            "values": {
              "k": "{}",
            },
          },
          "variant": "Ok",
        },
        "urls": [
          "/v1/snapshot",
        ],
      }
    `)
  })

  it('reads a change', async () => {
    expect(await doTest(200, '{"revision":5,"changed":[{"key":"k"}]}', readChange)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "value": {
            "changed": [
              {
                "key": "k",
              },
            ],
            "revision": 5,
          },
          "variant": "Ok",
        },
        "urls": [
          "/v1/watch?after=4&waitMs=50",
        ],
      }
    `)
  })

  it('reports the problems of an invalid answer', async () => {
    expect(await doTest(200, '{"revision":"x"}', readValues)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "error": {
            "detail": "values: got nothing, allowed is a value is required; revision: got "x", allowed is must be integer",
            "kind": "badAnswer",
          },
          "variant": "Err",
        },
        "urls": [
          "/v1/snapshot",
        ],
      }
    `)
  })

  it('reports the status of a refusal', async () => {
    expect(await doTest(503, 'busy', readChange)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "error": {
            "detail": "status 503",
            "kind": "refused",
          },
          "variant": "Err",
        },
        "urls": [
          "/v1/watch?after=4&waitMs=50",
        ],
      }
    `)
  })

  it('omits unreadable entries of a list', async () => {
    expect(await doTest(200, '{"version":3,"entries":[{"id":"a","role":"target","state":"live"},{"id":7}]}', readList)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "value": {
            "entries": [
              {
                "id": "a",
                "role": "target",
                "state": "live",
              },
            ],
            "version": 3,
          },
          "variant": "Ok",
        },
        "urls": [
          "/v1/instances?after=2&waitMs=50",
        ],
      }
    `)
  })

  it('refuses a list with mostly unreadable entries', async () => {
    expect(await doTest(200, '{"version":3,"entries":[1,2,{"id":"a","role":"target","state":"live"}]}', readList)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "error": {
            "detail": "entries: got "1 readable of 3", allowed is a majority of readable entries",
            "kind": "badAnswer",
          },
          "variant": "Err",
        },
        "urls": [
          "/v1/instances?after=2&waitMs=50",
        ],
      }
    `)
  })

  it('returns an error when the service does not listen', async () => {
    const outcome = await HttpConfigurationSource.create({ url: 'http://127.0.0.1:1', clock: SystemClock.create() }).fetchSnapshot()
    expect(outcome.isErr && outcome.error.kind).toBe('unreachable')
  })
})
