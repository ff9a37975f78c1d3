import { VirtualClock } from '@fescuespoke/common'
import { afterEach, describe, expect, it } from 'vitest'
import { Pool } from 'undici'
import { FaultInjectingHttpServer } from '../../src/index.js'

describe('FaultInjectingHttpServer', () => {
  const closers: Array<() => Promise<void>> = []

  afterEach(async () => {
    for (const close of closers.splice(0)) await close()
  })

  interface TestServer {
    readonly clock: VirtualClock
    readonly server: FaultInjectingHttpServer
    /** Sends a request over the single connection of a pool and returns the status code. */
    readonly sendRequest: (path: string, signal?: AbortSignal) => Promise<number>
    /** Paths of the requests handled so far, in order. */
    readonly handledPaths: string[]
  }

  async function startServer (): Promise<TestServer> {
    const clock = VirtualClock.create()
    const handledPaths: string[] = []
    const server = await FaultInjectingHttpServer.create({
      clock,
      routes: [{
        method: 'GET',
        path: /^\/(.*)$/,
        handle: exchange => {
          handledPaths.push(exchange.parameters[0] as string)
          exchange.respond(200, {})
        }
      }]
    })
    const pool = new Pool(server.url, { connections: 1, pipelining: 1 })
    closers.push(async () => await pool.destroy(), async () => await server.close())
    const sendRequest = async (path: string, signal?: AbortSignal): Promise<number> => {
      const { statusCode, body } = await pool.request({ method: 'GET', path: `/${path}`, signal })
      await body.dump()
      return statusCode
    }
    return { clock, server, sendRequest, handledPaths }
  }

  it('never responds on a frozen connection but responds on a new one', async () => {
    const { server, sendRequest, handledPaths } = await startServer()
    await sendRequest('a')
    server.freezeConnections()
    const controller = new AbortController()
    const pendingRequest = sendRequest('b', controller.signal)
    const otherPool = new Pool(server.url)
    closers.push(async () => await otherPool.destroy())
    expect((await otherPool.request({ method: 'GET', path: '/c' })).statusCode).toBe(200)
    expect(handledPaths).toEqual(['a', 'c'])
    controller.abort()
    await expect(pendingRequest).rejects.toThrow()
  })

  it('handles requests on a stalled connection after the stall', async () => {
    const { clock, server, sendRequest, handledPaths } = await startServer()
    await sendRequest('a')
    server.stall(1000)
    const delayedRequest = sendRequest('b')
    const otherPool = new Pool(server.url)
    closers.push(async () => await otherPool.destroy())
    await otherPool.request({ method: 'GET', path: '/c' })
    expect(handledPaths).toEqual(['a', 'c'])
    await clock.advance(1000)
    expect(await delayedRequest).toBe(200)
    expect(handledPaths).toEqual(['a', 'c', 'b'])
  })

  it('refuses connections after a kill and accepts them again at the same URL', async () => {
    const { server, sendRequest } = await startServer()
    const { url } = server
    await sendRequest('a')
    server.kill()
    await expect(sendRequest('b')).rejects.toThrow()
    await expect(sendRequest('c')).rejects.toThrow('ECONNREFUSED')
    await server.acceptConnections()
    expect(server.url).toBe(url)
    expect(await sendRequest('d')).toBe(200)
  })

  it('serves current connections while it refuses new ones', async () => {
    const { server, sendRequest } = await startServer()
    await sendRequest('a')
    server.refuseConnections()
    const otherPool = new Pool(server.url)
    closers.push(async () => await otherPool.destroy())
    await expect(otherPool.request({ method: 'GET', path: '/b' })).rejects.toThrow('ECONNREFUSED')
    expect(await sendRequest('c')).toBe(200)
    expect(server.getAcceptedConnectionCount()).toBe(1)
  })
})
