import fc from 'fast-check'
import { connect } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { type RunningFleet, startFleet } from '../support/startInstance.js'

let fleet: RunningFleet
let url = ''
let otherUrl = ''

beforeAll(async () => {
  fleet = await startFleet(2)
  url = fleet.instances[0]?.getUrl() ?? ''
  otherUrl = fleet.instances[1]?.getUrl() ?? ''
})

afterAll(async () => await fleet.close())

interface TestResponse {
  readonly status: number
  readonly text: string
}

async function doTest (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown, base = url): Promise<TestResponse> {
  const text = body === undefined || typeof body === 'string' ? body : JSON.stringify(body)
  const response = await request(`${base}${path}`, { method, body: text as string | undefined })
  return { status: response.statusCode, text: await response.body.text() }
}

async function grantLease (base = url): Promise<string> {
  const { text } = await doTest('POST', '/v1/leases', { workspace: 'w' }, base)
  return (JSON.parse(text) as { lease: string }).lease
}

function formatEvents ({ text }: TestResponse): string[] {
  return text.trim().split('\n').map(line => JSON.parse(line) as { type: string, outcome?: string, reason?: string })
    .filter(({ type }) => type !== 'heartbeat')
    .map(({ type, outcome, reason }) => outcome === undefined ? type : `${type} ${outcome} ${reason ?? ''}`)
}

describe('caller routes', () => {
  it('serves a generation', async () => {
    const lease = await grantLease()
    expect(formatEvents(await doTest('PUT', `/v1/requests/${lease}/1`, { service: 'streamed', prompt: '1' }))).toMatchInlineSnapshot(`
      [
        "accepted",
        "generation",
        "tokens",
        "end complete finished",
      ]
    `)
  })

  it('serves a call through an instance that does not own its lease', async () => {
    const lease = await grantLease()
    expect(formatEvents(await doTest('PUT', `/v1/requests/${lease}/1`, { service: 'charge', body: 1 }, otherUrl))).toMatchInlineSnapshot(`
      [
        "accepted",
        "reply",
        "end complete finished",
      ]
    `)
  })

  it('runs a call once when copies of it are sent to every instance', async () => {
    const lease = await grantLease()
    const path = `/v1/requests/${lease}/9`
    const body = { service: 'charge', body: 'copies' }
    const answers = await Promise.all([url, otherUrl, url, otherUrl].map(async base => await doTest('PUT', path, body, base)))
    const calls = fleet.platform.deployment.plainServices.get('plain-1')?.listCalls() ?? []
    expect(calls.filter(call => call.body === 'copies')).toHaveLength(1)
    expect(new Set(answers.map(answer => formatEvents(answer).at(-1)))).toEqual(new Set(['end complete finished']))
  })

  it('sends a second reader the tokens from its offset', async () => {
    const lease = await grantLease()
    await doTest('PUT', `/v1/requests/${lease}/1`, { service: 'streamed', prompt: '5' })
    const { text } = await doTest('GET', `/v1/requests/${lease}/1?offset=3`)
    const tokens = text.split('\n').filter(line => line.includes('"tokens"') && line.includes('"offset"')).map(line => JSON.parse(line) as { offset: number, tokens: string[] })
    expect(tokens.map(({ offset, tokens }) => `${offset}+${tokens.length}`)).toEqual(['3+2'])
  })

  it('does not expose a request to a holder of another lease', async () => {
    const lease = await grantLease()
    await doTest('PUT', `/v1/requests/${lease}/1`, { service: 'charge', body: 1 })
    const guessed = lease.replace(/[0-9a-f]{32}$/, '0'.repeat(32))
    expect(formatEvents(await doTest('GET', `/v1/requests/${guessed}/1`))).toMatchInlineSnapshot(`
      [
        "end unknown leaseUnknown",
      ]
    `)
    expect(JSON.parse((await doTest('DELETE', `/v1/requests/${guessed}/1`)).text)).toMatchInlineSnapshot(`
      {
        "outcome": "unknown",
        "reason": "leaseUnknown",
        "type": "end",
      }
    `)
  })

  it('returns the outcome unknown for an unlisted owner and for an earlier incarnation', async () => {
    const secret = '0'.repeat(32)
    expect(formatEvents(await doTest('PUT', `/v1/requests/gone~abc~1~${secret}/1`, { service: 'charge' }))).toMatchInlineSnapshot(`
      [
        "end unknown ownerUnreachable",
      ]
    `)
    expect(formatEvents(await doTest('PUT', `/v1/requests/i1~abc~1~${secret}/1`, { service: 'charge' }))).toMatchInlineSnapshot(`
      [
        "end unknown ownerRestarted",
      ]
    `)
  })

  it('rejects a resume token that the fleet did not issue', async () => {
    expect(await doTest('POST', '/v1/resumes', { resumeToken: 'e30.AAAA', offset: 0 })).toMatchInlineSnapshot(`
      {
        "status": 403,
        "text": "{"error":"forbidden","message":"the resume token is not one of this fleet"}",
      }
    `)
  })

  it('rejects a cancellation with a resume token that the fleet did not issue', async () => {
    expect((await doTest('DELETE', '/v1/resumes/e30.AAAA')).status).toBe(403)
  })

  it('reports each invalid field of a body', async () => {
    const lease = await grantLease()
    expect(await doTest('PUT', `/v1/requests/${lease}/1`, { priority: 'urgent', deadlineMs: 0 })).toMatchInlineSnapshot(`
      {
        "status": 400,
        "text": "{"error":"invalidInput","message":"the body does not match its schema","problems":[{"field":"service","value":"nothing","allowed":"a value is required"},{"field":"priority","value":"\\"urgent\\"","allowed":"high, normal, low"},{"field":"deadlineMs","value":"0","allowed":"must be >= 1"}]}",
      }
    `)
  })

  it('rejects a body that is too large and a body that is not JSON', async () => {
    expect((await doTest('POST', '/v1/leases', `"${'x'.repeat(4000)}"`)).text).toMatchInlineSnapshot('"{"error":"tooLarge","message":"the body has more than 2048 bytes"}"')
    expect((await doTest('POST', '/v1/leases', '{')).text).toMatchInlineSnapshot('"{"error":"invalidInput","message":"the body is not JSON","problems":[{"field":"body","value":"\\"{\\"","allowed":"JSON"}]}"')
  })

  it('rejects an address query without a workspace', async () => {
    expect((await doTest('GET', '/v1/addresses?service=s')).text).toMatchInlineSnapshot('"{"error":"invalidInput","message":"the query is not complete","problems":[{"field":"workspace","value":"nothing","allowed":"a value is required"}]}"')
  })

  it('rejects a malformed request path', async () => {
    expect(await sendBytes(Buffer.from('GET // HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'))).toContain('the path cannot be read')
  })

  it('keeps serving after arbitrary bytes on a connection', async () => {
    await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 400 }), async bytes => {
      await sendBytes(bytes)
      expect((await doTest('GET', '/v1/addresses?service=s&workspace=w')).status).toBe(200)
    }), { seed: 1, numRuns: 30 })
  })

  it('returns a defined error status for any path and JSON body', async () => {
    const anyPath = fc.array(fc.string({ maxLength: 12 }), { maxLength: 4 }).map(parts => parts.map(encodeURIComponent).join('/'))
    await fc.assert(fc.asyncProperty(anyPath, fc.json({ maxDepth: 2 }), async (path, body) => {
      const { status } = await doTest('PUT', `/v1/requests/${path}`, body)
      expect([400, 404, 413]).toContain(status)
    }), { seed: 1, numRuns: 50 })
  })
})

async function sendBytes (bytes: Uint8Array): Promise<string> {
  const { hostname, port } = new URL(url)
  let received = ''
  await new Promise<void>(resolve => {
    const socket = connect({ host: hostname, port: Number(port) })
    socket.on('error', () => undefined)
    socket.on('close', () => resolve())
    socket.on('data', chunk => { received += chunk.toString() })
    socket.end(Buffer.from(bytes))
  })
  return received
}
