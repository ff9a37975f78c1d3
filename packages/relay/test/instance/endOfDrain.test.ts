import { createLogger, type Logger, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it, vi } from 'vitest'
import { RelayInstance } from '../../src/instance/RelayInstance.js'
import { type PublishedSource } from '../../src/published/PublishedItem.js'
import { createInstanceOptions } from '../support/createInstanceOptions.js'
import { FakeTargetClient } from '../support/FakeTargetClient.js'
import { LateClock } from '../support/LateClock.js'

const GRACE_MS = 8000

/** Address of the loopback network on which nothing else listens. */
const PEER_ADDRESS = '127.0.45.1:14501'

/** Time until the last answers are written after the requests in progress were ended, in milliseconds. */
const WRITE_MS = 20

/** Client whose connections never finish closing. */
class SilentTargetClient extends FakeTargetClient {
  static override create (clock: VirtualClock): SilentTargetClient {
    return new SilentTargetClient(clock)
  }

  override async close (): Promise<void> {
    await new Promise(() => {})
  }
}

interface Options {
  /** Time by which timers fire late, in milliseconds. */
  readonly lateMs?: number
  /** Whether a caller reads nothing of its answer. */
  readonly isReaderSilent?: boolean
  /** Whether connections with targets never finish closing. */
  readonly isCloseSilent?: boolean
  /** Time at which the only request ends by itself, in milliseconds. */
  readonly requestEndMs?: number
  /** Time for which the process stands still before it handles the stop signal, in milliseconds. */
  readonly signalDelayMs?: number
  /** Whether the request has arrived and is not read before the process waits for its input; by default it is read before the stop. */
  readonly isUnread?: boolean
  readonly logger?: Logger
  /** Whether the process stands still when it waits for its input after the requests were ended. */
  readonly isInputSilent?: boolean
}

/** A store that gives no answers. */
const SILENT_SOURCE: PublishedSource = {
  fetchPage: async () => await new Promise(() => {}),
  watchChanges: async () => await new Promise(() => {})
}

/** Creates a logger that records its lines of level `warn`. */
function createRecordingLogger (lines: string[]): Logger {
  const logger = createLogger({ instance: 'test', level: 'silent' })
  vi.spyOn(logger, 'warn').mockImplementation(((fields: object, message: string) => lines.push(`${message} ${JSON.stringify(fields)}`)) as never)
  return logger
}

/** Stops an instance with one request in progress, and returns when that is ended and when the stop is over, in milliseconds. */
async function doTest ({ lateMs = 0, isReaderSilent = false, isCloseSilent = false, requestEndMs = Infinity, signalDelayMs = 0, isUnread = false, logger = createLogger({ instance: 'test', level: 'silent' }), isInputSilent = false }: Options): Promise<{ requestsEndedMs?: number, overMs?: number }> {
  const virtualClock = VirtualClock.create()
  const clock = LateClock.create(virtualClock)
  clock.lateMs = lateMs
  const client = isCloseSilent ? SilentTargetClient.create(virtualClock) : FakeTargetClient.create(virtualClock)
  const options = createInstanceOptions(virtualClock, { clock, client, source: SILENT_SOURCE, graceMs: GRACE_MS, logger })
  const instance = RelayInstance.create({ ...options, identity: { ...options.identity, peerAddress: PEER_ADDRESS } })
  if (signalDelayMs > 0) expect((await instance.start()).isOk).toBe(true)
  await virtualClock.advance(1000)
  const signalAtMs = clock.nowMs()
  virtualClock.jump(signalDelayMs)
  const getTimeMs = (): number => clock.nowMs() - signalAtMs
  const times: { requestsEndedMs?: number, overMs?: number } = {}
  let isRead = !isUnread
  const waitForInput = async (): Promise<void> => {
    isRead = true
    if (isInputSilent && times.requestsEndedMs !== undefined) await new Promise(() => {})
  }
  const countOpenAnswers = (): number => {
    if (!isRead) return 0
    const endMs = times.requestsEndedMs === undefined ? requestEndMs : isReaderSilent ? Infinity : times.requestsEndedMs + WRITE_MS
    return getTimeMs() < endMs ? 1 : 0
  }
  instance.drain({ countOpenAnswers, waitForInput, stopAccepting: () => { times.requestsEndedMs = getTimeMs() }, finishOpenRequests: () => {} }).then(() => { times.overMs = getTimeMs() })
  await virtualClock.advance(GRACE_MS + 4000)
  return times
}

/** Guards against LOST: a stop that lasted longer than the grace period was ended by a kill, with answers that were not written. */
describe('the end of a drain', () => {
  it('leaves requests most of the grace period', async () => expect(await doTest({})).toMatchInlineSnapshot(`
    {
      "overMs": 7620,
      "requestsEndedMs": 7600,
    }
  `))
  it('waits for a request that had arrived unread before a late stop signal was handled', async () => {
    const { requestsEndedMs } = await doTest({ isUnread: true, signalDelayMs: 3000, requestEndMs: 5000 })
    expect(requestsEndedMs).toBe(5000)
  })

  it('comes soon after the last request', async () => expect(await doTest({ requestEndMs: 4000 })).toMatchInlineSnapshot(`
    {
      "overMs": 4020,
      "requestsEndedMs": 4000,
    }
  `))
  it('leaves a line with what became of its requests when connections never finish closing', async () => {
    const lines: string[] = []
    await doTest({ isCloseSilent: true, logger: createRecordingLogger(lines) })
    expect(lines).toMatchInlineSnapshot(`
      [
        "requests ended {"cut":{},"requests":{},"refused":0,"running":0,"openAnswers":0,"linesLeftOut":0,"steps":{"drain ended":7600,"last answers written":7620}}",
      ]
    `)
  })

  it('leaves that line before it waits for anything further', async () => {
    const lines: string[] = []
    await doTest({ isInputSilent: true, isCloseSilent: true, logger: createRecordingLogger(lines) })
    expect(lines).toHaveLength(1)
  })

  it('comes earlier while timers fire late', async () => {
    expect([await doTest({ lateMs: 30 }), await doTest({ lateMs: 100 }), await doTest({ lateMs: 250 }), await doTest({ lateMs: 250, isReaderSilent: true })]).toMatchInlineSnapshot(`
      [
        {
          "overMs": 7605,
          "requestsEndedMs": 7570,
        },
        {
          "overMs": 7605,
          "requestsEndedMs": 7500,
        },
        {
          "overMs": 7455,
          "requestsEndedMs": 7200,
        },
        {
          "overMs": 7710,
          "requestsEndedMs": 7200,
        },
      ]
    `)
  })
  it('comes earlier when the process has handled the stop signal late', async () => {
    const tests = [await doTest({ signalDelayMs: 500 }), await doTest({ signalDelayMs: 2500 })]
    expect(tests.map(({ requestsEndedMs }) => requestsEndedMs)).toMatchInlineSnapshot(`
      [
        7850,
        7850,
      ]
    `)
  })
  it('does not wait for a caller that does not read', async () => expect(await doTest({ isReaderSilent: true })).toMatchInlineSnapshot(`
    {
      "overMs": 7800,
      "requestsEndedMs": 7600,
    }
  `))
  it('does not wait for connections that do not finish closing', async () => {
    expect([await doTest({ isCloseSilent: true }), await doTest({ isCloseSilent: true, isReaderSilent: true }), await doTest({ isCloseSilent: true, requestEndMs: 4000 })]).toMatchInlineSnapshot(`
      [
        {
          "overMs": 7720,
          "requestsEndedMs": 7600,
        },
        {
          "overMs": 7850,
          "requestsEndedMs": 7600,
        },
        {
          "overMs": 4120,
          "requestsEndedMs": 4000,
        },
      ]
    `)
  })

  it('lets answers announce the close of their connections until the exit', async () => {
    const instance = RelayInstance.create(createInstanceOptions(VirtualClock.create()))
    await instance.stop()
    expect(instance.isDraining()).toBe(true)
  })

  it('gives slow readers half of the margin after the other requests are ended', async () => {
    const clock = VirtualClock.create()
    const instance = RelayInstance.create(createInstanceOptions(clock, { graceMs: GRACE_MS }))
    const times: Record<string, number> = {}
    instance.service.stopExceptSlowReaders = () => { times.others = clock.nowMs() }
    instance.service.stop = () => { times.slowReaders = clock.nowMs() }
    instance.drain({ countOpenAnswers: () => 1, waitForInput: async () => {}, stopAccepting: () => {}, finishOpenRequests: () => {} })
    await clock.advance(GRACE_MS)
    expect(times).toMatchInlineSnapshot(`
      {
        "others": 7600,
        "slowReaders": 7800,
      }
    `)
  })
})
