import { BufferBudget, SystemClock, type Target } from '@fescuespoke/common'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpTargetClient } from '../../src/targets/HttpTargetClient.js'

const PIECE = Buffer.alloc(16 * 1024, ' ')

/** Number of bytes after which a receiver that still reads counts as unbounded. */
const MAX_SENT_BYTES = 32 * 1024 * 1024

const LONG_TIME_MS = 60_000

const cleanups: Array<() => Promise<void> | void> = []

afterEach(async () => {
  for (const close of cleanups.splice(0)) await close()
})

/** Starts a server that answers each request by a head and then what a function sends. */
async function startServer (send: (socket: Socket) => void): Promise<Target> {
  const sockets = new Set<Socket>()
  const server: Server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n')
      send(socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  cleanups.push(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { id: 't1', url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` } as unknown as Target
}

function createClient (bufferBudget?: BufferBudget): HttpTargetClient {
  const client = HttpTargetClient.create({ clock: SystemClock.create(), connectTimeoutMs: 2000, silenceMs: LONG_TIME_MS, bufferBudget })
  cleanups.push(async () => await client.close())
  return client
}

async function sendEndlessly (socket: Socket): Promise<'closed' | 'unbounded'> {
  for (let sentBytes = 0; sentBytes < MAX_SENT_BYTES && !socket.destroyed; sentBytes += PIECE.length) {
    if (!socket.write(PIECE)) await new Promise<void>(resolve => { for (const event of ['drain', 'close']) socket.once(event, () => resolve()) })
  }
  return socket.destroyed ? 'closed' : 'unbounded'
}

describe('answers of targets without end', () => {
  it.each([
    ['the state', async (client: HttpTargetClient, target: Target) => await client.fetchState(target)],
    ['cache events', async (client: HttpTargetClient, target: Target) => await client.fetchCacheEvents(target, 0)],
    ['the end of a generation', async (client: HttpTargetClient, target: Target) => await client.cancelGeneration(target, 'g1')]
  ])('are closed: %s', async (_, call) => {
    let handleEnd: (end: string) => void
    const connectionEnd = new Promise<string>(resolve => { handleEnd = resolve })
    const target = await startServer(async socket => handleEnd(await sendEndlessly(socket)))
    const answer = call(createClient(), target)
    expect(await connectionEnd).toBe('closed')
    expect(await answer).toMatchObject({ error: 'malformed' })
  })
})

describe('lines of generations without end', () => {
  it('do not fill the memory when there are many', async () => {
    const lineBytes = 100 * PIECE.length / 10
    const maxBytes = 10 * lineBytes
    const bufferBudget = BufferBudget.create({ maxBytes })
    const target = await startServer(socket => { for (let index = 0; index < 10; index++) socket.write(PIECE) })
    const client = createClient(bufferBudget)
    const endController = new AbortController()
    let openCount = 0
    for (let index = 0; index < 40; index++) {
      openCount++
      const events = client.openGeneration(target, { generation: `g${index}`, offset: 0, signal: endController.signal })
      events.next().then(() => { openCount-- })
    }
    await expect.poll(() => openCount, { timeout: 20_000 }).toBeLessThanOrEqual(10)
    expect(bufferBudget.getUsedBytes()).toBeLessThanOrEqual(maxBytes)
    endController.abort()
    await expect.poll(() => [openCount, bufferBudget.getUsedBytes()], { timeout: 20_000 }).toEqual([0, 0])
  })
})
