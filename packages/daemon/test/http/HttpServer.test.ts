import { connect } from 'node:net'
import fc from 'fast-check'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { HttpServer } from '../../src/index.js'

const HEAD = 'POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n'

const errors: unknown[] = []
const server = HttpServer.create({
  host: '127.0.0.1',
  port: 0,
  headersTimeoutMs: 100,
  requestTimeoutMs: 200,
  onInternalError: error => errors.push(error),
  routes: [{
    method: 'POST',
    path: '/slow',
    handle: async ({ incoming, outgoing }) => {
      for await (const chunk of incoming) expect(chunk.length).toBeGreaterThan(0)
      outgoing.end('read')
    }
  }]
})

beforeAll(async () => await server.start())
afterAll(async () => await server.close())

/** Sends a text and nothing else, and returns the first line that the server sends before it closes the connection. */
async function doTest (text: string): Promise<string> {
  const { hostname, port } = new URL(server.getUrl())
  return await new Promise(resolve => {
    let received = ''
    const socket = connect({ host: hostname, port: Number(port) }, () => socket.write(text))
    socket.on('data', chunk => { received += chunk.toString() })
    socket.on('error', () => undefined)
    socket.on('close', () => resolve(received.split('\r\n')[0] ?? ''))
  })
}

describe('HttpServer', () => {
  it('closes a connection that does not send its headers in time', async () => {
    expect(await doTest('POST /slow HTTP/1.1\r\nho')).toBe('HTTP/1.1 408 Request Timeout')
  })

  it('closes a connection that does not send its body in time', async () => {
    expect(await doTest(`${HEAD}half`)).toBe('HTTP/1.1 408 Request Timeout')
    expect(errors).toEqual([])
  })

  it('rejects headers that are too large', async () => {
    expect(await doTest(`POST /slow HTTP/1.1\r\nlong: ${'x'.repeat(20_000)}`)).toBe('HTTP/1.1 431 Request Header Fields Too Large')
  })

  it('closes a connection whose request is truncated at any position', async () => {
    const anyTruncation = fc.integer({ min: 1, max: HEAD.length + 99 }).map(length => `${HEAD}${'b'.repeat(100)}`.slice(0, length))
    const truncations = fc.sample(anyTruncation, { seed: 1, numRuns: 30 })
    const answers = await Promise.all(truncations.map(async truncation => await doTest(truncation)))
    expect(new Set(answers)).toEqual(new Set(['HTTP/1.1 408 Request Timeout']))
  })
})
