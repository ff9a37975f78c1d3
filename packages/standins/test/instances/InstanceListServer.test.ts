import { VirtualClock } from '@fescuespoke/common'
import { expect, it } from 'vitest'
import { request } from 'undici'
import { InstanceListCore, InstanceListServer } from '../../src/index.js'

it('InstanceListServer responds to a pending watch when an entry changes', async () => {
  const clock = VirtualClock.create()
  const server = await InstanceListServer.create({ core: InstanceListCore.create({ clock }), clock })
  const watch = request(`${server.url}/v1/instances?after=0&waitMs=60000`)
  await expect.poll(() => server.core.getCallCount()).toBe(1)
  server.core.setEntries([{ id: 'i1', role: 'entry', state: 'live', peerAddress: '127.0.0.1:1' }])
  const text = await (await watch).body.text()
  await server.close()
  expect(text).toMatchInlineSnapshot('"{"version":1,"entries":[{"id":"i1","role":"entry","state":"live","peerAddress":"127.0.0.1:1"}]}"')
})
