import { SeededRandom, SystemClock } from '@fescuespoke/common'
import { afterEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { PlainServiceCore, PlainServiceServer } from '../../src/index.js'

describe('PlainServiceServer', () => {
  const servers: PlainServiceServer[] = []

  afterEach(async () => {
    for (const server of servers.splice(0)) await server.close()
  })

  async function createServer (): Promise<PlainServiceServer> {
    const clock = SystemClock.create()
    const core = PlainServiceCore.create({ clock, random: SeededRandom.create(1), targetName: 'p1' })
    const server = await PlainServiceServer.create({ core, clock })
    servers.push(server)
    return server
  }

  async function call (server: PlainServiceServer, id: string): Promise<string> {
    const response = await request(`${server.url}/v1/calls`, { method: 'POST', headers: { 'fescuespoke-request': id }, body: '{"gate":1}' })
    return `${response.statusCode} ${await response.body.text()}`
  }

  it('replies to a call and records it', async () => {
    const server = await createServer()
    expect(await call(server, 'r1')).toMatchInlineSnapshot('"200 {"status":200,"body":{"request":"r1","echo":{"gate":1}}}"')
    expect(server.core.listCalls().map(({ request }) => request)).toEqual(['r1'])
  })

  it('executes a call whose reply is dropped', async () => {
    const server = await createServer()
    server.dropReplies(1)
    await expect(call(server, 'r1')).rejects.toThrow()
    await call(server, 'r1')
    expect(server.core.listDuplicateRequestIds()).toEqual(['r1'])
  })

  it('can execute a call and leave its connection silent', async () => {
    const server = await createServer()
    server.dropReplies(1, 'silent')
    const controller = new AbortController()
    const pendingCall = request(`${server.url}/v1/calls`, { method: 'POST', body: '{}', headers: { 'fescuespoke-request': 'r1' }, signal: controller.signal })
    await expect.poll(() => server.core.listCalls().length).toBe(1)
    controller.abort()
    await expect(pendingCall).rejects.toThrow()
  })

  it('refuses connections and accepts them again', async () => {
    const server = await createServer()
    server.refuseConnections()
    await expect(call(server, 'r1')).rejects.toThrow('ECONNREFUSED')
    await server.acceptConnections()
    expect(await call(server, 'r2')).toContain('200')
    expect(server.core.listCalls().map(({ request }) => request)).toEqual(['r2'])
  })
})
