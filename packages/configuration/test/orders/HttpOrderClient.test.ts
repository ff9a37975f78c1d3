import { SystemClock, type Target } from '@fescuespoke/common'
import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpOrderClient } from '../../src/index.js'

const servers: Server[] = []

afterEach(async () => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
})

async function doTest (status: number, body: string, call: (client: HttpOrderClient, target: Target) => Promise<unknown>): Promise<unknown> {
  const requests: string[] = []
  const server = createServer((request, response) => {
    let text = ''
    request.on('data', chunk => { text += String(chunk) })
    request.on('end', () => {
      requests.push(`${request.method} ${request.url} ${text}`)
      response.writeHead(status).end(body)
    })
  })
  servers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const client = HttpOrderClient.create({ clock: SystemClock.create() })
  const outcome = await call(client, { name: 't', url, availabilityZone: 'z', region: 'r', fencing: 'enforced' })
  await client.close()
  return { requests, outcome: JSON.parse(JSON.stringify(outcome)) as unknown }
}

const sendOrder = async (client: HttpOrderClient, target: Target): Promise<unknown> =>
  await client.sendOrder(target, { fence: 7, action: 'load', model: 'm', version: '2' })
const fetchState = async (client: HttpOrderClient, target: Target): Promise<unknown> => await client.fetchState(target)

describe('HttpOrderClient', () => {
  it('sends an order once and reads the answer', async () => {
    expect(await doTest(200, '{"accepted":true,"fence":7}', sendOrder)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "value": {
            "accepted": true,
            "fence": 7,
          },
          "variant": "Ok",
        },
        "requests": [
          "POST /v1/orders {"fence":7,"action":"load","model":"m","version":"2"}",
        ],
      }
    `)
  })

  it('reads the fencing token of a refusal', async () => {
    expect(await doTest(409, '{"accepted":false,"fence":9}', sendOrder)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "value": {
            "accepted": false,
            "fence": 9,
          },
          "variant": "Ok",
        },
        "requests": [
          "POST /v1/orders {"fence":7,"action":"load","model":"m","version":"2"}",
        ],
      }
    `)
  })

  it('returns an error for an answer that cannot be read', async () => {
    expect(await doTest(500, 'oops', sendOrder)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "error": "badAnswer",
          "variant": "Err",
        },
        "requests": [
          "POST /v1/orders {"fence":7,"action":"load","model":"m","version":"2"}",
        ],
      }
    `)
  })

  it('reads the state of a target', async () => {
    expect(await doTest(200, '{"target":"t","incarnation":"1","state":"active","fence":3}', fetchState)).toMatchInlineSnapshot(`
      {
        "outcome": {
          "value": {
            "fence": 3,
            "incarnation": "1",
            "state": "active",
            "target": "t",
          },
          "variant": "Ok",
        },
        "requests": [
          "GET /v1/state ",
        ],
      }
    `)
  })

  it('returns an error when the target does not listen', async () => {
    expect(await doTest(200, '', async (client, target) => await client.sendOrder({ ...target, url: 'http://127.0.0.1:1' }, { fence: 1, action: 'role', role: 'x' })))
      .toMatchInlineSnapshot(`
        {
          "outcome": {
            "error": "unreachable",
            "variant": "Err",
          },
          "requests": [],
        }
      `)
  })
})
