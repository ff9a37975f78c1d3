import { VirtualClock } from '@fescuespoke/common'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { ConfigurationCore, ConfigurationServer } from '../../src/index.js'

describe('ConfigurationServer', () => {
  let clock: VirtualClock
  let server: ConfigurationServer

  beforeEach(async () => {
    clock = VirtualClock.create()
    server = await ConfigurationServer.create({ core: ConfigurationCore.create({ clock, readsPerSecond: 2 }), clock })
  })

  afterEach(async () => await server.close())

  async function read (path: string, signal?: AbortSignal): Promise<string> {
    const { statusCode, body } = await request(`${server.url}${path}`, { signal })
    return `${statusCode} ${await body.text()}`
  }

  async function waitForPendingWatches (count: number): Promise<void> {
    await expect.poll(() => server.core.getPendingWatchCount()).toBe(count)
  }

  it('serves all values', async () => {
    server.core.publish({ a: '1' })
    expect(await read('/v1/snapshot')).toMatchInlineSnapshot('"200 {"revision":1,"values":{"a":"1"}}"')
  })

  it('responds to a pending watch after a change', async () => {
    const watch = read('/v1/watch?after=0&waitMs=60000')
    await waitForPendingWatches(1)
    server.core.setValue('a', '1')
    expect(await watch).toMatchInlineSnapshot('"200 {"revision":1,"changed":[{"key":"a","value":"1"}]}"')
  })

  it('applies one rate limit to snapshots and watches', async () => {
    await read('/v1/snapshot')
    await read('/v1/watch?after=0&waitMs=0')
    expect(await read('/v1/snapshot')).toMatchInlineSnapshot('"429 {"error":"tooManyReads"}"')
    expect(server.core.getCallCount()).toBe(3)
  })

  it('ends the watch of a client that disconnected', async () => {
    const controller = new AbortController()
    const watch = read('/v1/watch?after=0&waitMs=60000', controller.signal)
    await waitForPendingWatches(1)
    controller.abort()
    await expect(watch).rejects.toThrow()
    await waitForPendingWatches(0)
  })

  it('responds with 503 while it is unavailable', async () => {
    server.core.setDown(true)
    expect(await read('/v1/snapshot')).toMatchInlineSnapshot('"503 {"error":"down"}"')
  })
})
