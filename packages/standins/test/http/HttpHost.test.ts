import { VirtualClock } from '@fescuespoke/common'
import { afterEach, describe, expect, it } from 'vitest'
import { Pool } from 'undici'
import { HttpHost } from '../../src/index.js'

describe('HttpHost', () => {
  const closers: Array<() => Promise<void>> = []

  afterEach(async () => {
    for (const close of closers.splice(0)) await close()
  })

  interface Setup {
    readonly clock: VirtualClock
    readonly host: HttpHost
    /** Calls over the one connection of a pool; the paths handled are noted. */
    readonly call: (path: string, signal?: AbortSignal) => Promise<number>
    readonly handled: string[]
  }

  async function startHost (): Promise<Setup> {
    const clock = VirtualClock.create()
    const handled: string[] = []
    const host = await HttpHost.create({
      clock,
      routes: [{
        method: 'GET',
        path: /^\/(.*)$/,
        handle: exchange => {
          handled.push(exchange.parameters[0] as string)
          exchange.answer(200, {})
        }
      }]
    })
    const pool = new Pool(host.url, { connections: 1, pipelining: 1 })
    closers.push(async () => await pool.destroy(), async () => await host.close())
    const call = async (path: string, signal?: AbortSignal): Promise<number> => {
      const { statusCode, body } = await pool.request({ method: 'GET', path: `/${path}`, signal })
      await body.dump()
      return statusCode
    }
    return { clock, host, call, handled }
  }

  it('never answers on a frozen connection but does so on a new one', async () => {
    const { host, call, handled } = await startHost()
    await call('a')
    host.freezeConnections()
    const controller = new AbortController()
    const silent = call('b', controller.signal)
    const other = new Pool(host.url)
    closers.push(async () => await other.destroy())
    expect((await other.request({ method: 'GET', path: '/c' })).statusCode).toBe(200)
    expect(handled).toEqual(['a', 'c'])
    controller.abort()
    await expect(silent).rejects.toThrow()
  })

  it('handles what arrives on a stalled connection afterwards', async () => {
    const { clock, host, call, handled } = await startHost()
    await call('a')
    host.stall(1000)
    const late = call('b')
    const other = new Pool(host.url)
    closers.push(async () => await other.destroy())
    await other.request({ method: 'GET', path: '/c' })
    expect(handled).toEqual(['a', 'c'])
    await clock.advance(1000)
    expect(await late).toBe(200)
    expect(handled).toEqual(['a', 'c', 'b'])
  })

  it('refuses connections after a kill and accepts them again at the same URL', async () => {
    const { host, call } = await startHost()
    const { url } = host
    await call('a')
    host.kill()
    await expect(call('b')).rejects.toThrow()
    await expect(call('c')).rejects.toThrow('ECONNREFUSED')
    await host.acceptConnects()
    expect(host.url).toBe(url)
    expect(await call('d')).toBe(200)
  })

  it('serves present connections while it refuses new ones', async () => {
    const { host, call } = await startHost()
    await call('a')
    host.refuseConnects()
    const other = new Pool(host.url)
    closers.push(async () => await other.destroy())
    await expect(other.request({ method: 'GET', path: '/b' })).rejects.toThrow('ECONNREFUSED')
    expect(await call('c')).toBe(200)
    expect(host.getConnectionCount()).toBe(1)
  })
})
