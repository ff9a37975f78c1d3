import { SeededRandom, SystemClock, VirtualClock } from '@fescuespoke/common'
import { afterEach, describe, expect, it } from 'vitest'
import { Agent, request } from 'undici'
import { EngineCore, type EngineOptions, EngineServer } from '../../src/index.js'
import { createTestEngine } from './support.js'

describe('EngineServer', () => {
  const servers: EngineServer[] = []

  afterEach(async () => {
    for (const server of servers.splice(0)) await server.close()
  })

  async function createServer (options: Partial<EngineOptions> = {}): Promise<EngineServer> {
    const clock = SystemClock.create()
    const core = EngineCore.create({
      clock,
      random: SeededRandom.create(1),
      targetName: 'e1',
      computeOutputTokens: () => 3,
      speed: 100,
      loadLagMs: 0,
      ...options
    })
    const server = await EngineServer.create({ core, clock })
    servers.push(server)
    return server
  }

  const SPEC = { model: 'm', prompt: 'write', maxTokens: 100, priority: 0 }

  async function call (server: EngineServer, method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<string> {
    const response = await request(`${server.url}${path}`, { method, body: body === undefined ? undefined : JSON.stringify(body) })
    return `${response.statusCode} ${await response.body.text()}`
  }

  it('streams a generation', async () => {
    const server = await createServer()
    expect(await call(server, 'PUT', '/v1/generations/g', SPEC)).toMatchInlineSnapshot(`
      "200 {"type":"tokens","offset":0,"tokens":["g:0"]}
      {"type":"tokens","offset":1,"tokens":["g:1"]}
      {"type":"tokens","offset":2,"tokens":["g:2"]}
      {"type":"end","reason":"stop","tokens":3}
      "
    `)
  })

  it('attaches to a generation at an offset', async () => {
    const server = await createServer()
    await call(server, 'PUT', '/v1/generations/g', SPEC)
    expect(await call(server, 'PUT', '/v1/generations/g?offset=2', SPEC)).toMatchInlineSnapshot(`
      "200 {"type":"tokens","offset":2,"tokens":["g:2"]}
      {"type":"end","reason":"stop","tokens":3}
      "
    `)
    expect(await call(server, 'GET', '/v1/generations/g?offset=3')).toMatchInlineSnapshot(`
      "200 {"type":"end","reason":"stop","tokens":3}
      "
    `)
    expect(server.core.getCounts().started).toBe(1)
  })

  it('responds with 404 for an unknown generation', async () => {
    const server = await createServer()
    expect(await call(server, 'GET', '/v1/generations/g')).toMatchInlineSnapshot('"404 {"error":"notFound"}"')
    expect(await call(server, 'DELETE', '/v1/generations/g')).toMatchInlineSnapshot('"404 "')
  })

  it('rejects a body that violates the schema', async () => {
    const server = await createServer()
    expect(await call(server, 'PUT', '/v1/generations/g', { ...SPEC, priority: 'high' })).toMatchInlineSnapshot('"400 {"error":"priority: got \\"high\\", allowed is must be integer"}"')
  })

  it('rejects an order with an outdated fencing token', async () => {
    const server = await createServer({ isFencingEnforced: true })
    expect(await call(server, 'POST', '/v1/orders', { fence: 5, action: 'role', role: 'r' })).toMatchInlineSnapshot('"200 {"accepted":true,"fence":5}"')
    expect(await call(server, 'POST', '/v1/orders', { fence: 4, action: 'role', role: 's' })).toMatchInlineSnapshot('"409 {"accepted":false,"fence":5}"')
    expect(server.core.getState().role).toBe('r')
  })

  it('has no earlier generations after a restart at the same URL', async () => {
    const server = await createServer()
    const { url, core } = server
    await call(server, 'PUT', '/v1/generations/g', SPEC)
    await server.restart(EngineCore.create({ clock: SystemClock.create(), random: SeededRandom.create(2), targetName: 'e1' }))
    expect(server.url).toBe(url)
    expect(await call(server, 'GET', '/v1/generations')).toMatchInlineSnapshot('"200 []"')
    expect(server.core.incarnation).not.toBe(core.incarnation)
  })

  describe('an interrupted stream', () => {
    interface Stream {
      readonly text: () => string
      readonly done: Promise<unknown>
    }

    async function startStream (server: EngineServer, path: string): Promise<Stream> {
      const { body } = await request(`${server.url}${path}`, { method: 'PUT', body: JSON.stringify(SPEC), dispatcher: new Agent() })
      let text = ''
      body.on('data', chunk => { text += String(chunk) })
      const done = new Promise(resolve => body.on('close', resolve).on('error', resolve))
      return { text: () => text, done }
    }

    async function createVirtualClockServer (): Promise<{ clock: VirtualClock, server: EngineServer }> {
      const clock = VirtualClock.create()
      const core = createTestEngine(clock, { computeOutputTokens: () => 4, stepBaseMs: 10, stepSequenceMs: 0, prefillTokenMs: 0 })
      const server = await EngineServer.create({ core, clock })
      servers.push(server)
      return { clock, server }
    }

    it('on a frozen connection can be resumed at its offset over another connection', async () => {
      const { clock, server } = await createVirtualClockServer()
      const first = await startStream(server, '/v1/generations/g')
      await clock.advance(20)
      await expect.poll(first.text).toContain('g:1')
      server.freezeConnections()
      await clock.advance(1000)
      const second = await startStream(server, '/v1/generations/g?offset=2')
      await second.done
      expect(second.text()).toMatchInlineSnapshot(`
        "{"type":"tokens","offset":2,"tokens":["g:2","g:3"]}
        {"type":"end","reason":"stop","tokens":4}
        "
      `)
      expect(first.text()).not.toContain('g:2')
    })

    it('ends without an end event when the engine is reclaimed', async () => {
      const { clock, server } = await createVirtualClockServer()
      const stream = await startStream(server, '/v1/generations/g')
      await clock.advance(20)
      await expect.poll(stream.text).toContain('g:1')
      server.reclaim(5)
      expect(server.core.getState().state).toBe('leaving')
      await clock.advance(5)
      await stream.done
      expect(stream.text()).not.toContain('end')
      await expect(call(server, 'GET', '/v1/state')).rejects.toThrow('ECONNREFUSED')
    })
  })
})
