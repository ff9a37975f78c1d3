import { VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { sendHedgedRequest } from '../../src/http/sendHedgedRequest.js'

const HEDGE_MS = 100

/** Asks instances that answer after a time, or fail after a time when it is negative. */
async function doTest (delaysMs: Readonly<Record<string, number>>): Promise<string> {
  const clock = VirtualClock.create()
  const events: string[] = []
  const pendingResponse = sendHedgedRequest<string>({
    clock,
    urls: Object.keys(delaysMs),
    hedgeMs: HEDGE_MS,
    send: async url => {
      events.push(`${clock.nowMs()} ask ${url}`)
      const delayMs = delaysMs[url] ?? 0
      await clock.sleep(Math.abs(delayMs))
      return delayMs < 0 ? Result.err({ kind: 'interrupted', detail: `${url} failed` }) : Result.ok(`answer of ${url}`)
    },
    onFailure: url => { events.push(`${clock.nowMs()} ${url} failed`) }
  })
  pendingResponse.then(answer => {
    events.push(`${clock.nowMs()} ${answer.match({ Ok: ({ value }) => value, Err: ({ detail }) => `none: ${detail}` })}`)
  })
  await clock.advance(10_000)
  return events.join(', ')
}

describe('requestFirst', () => {
  it('asks one instance when it answers in time', async () => {
    expect(await doTest({ a: 50, b: 10 })).toMatchInlineSnapshot('"0 ask a, 50 answer of a"')
  })

  it('asks the next one after a failure', async () => {
    expect(await doTest({ a: -50, b: 10 })).toMatchInlineSnapshot('"0 ask a, 50 a failed, 50 ask b, 60 answer of b"')
  })

  it('asks the next one as well after a short silence', async () => {
    expect(await doTest({ a: 5000, b: 10, c: 10 })).toMatchInlineSnapshot('"0 ask a, 100 ask b, 110 answer of b"')
  })

  it('takes a slow answer when the next one fails', async () => {
    expect(await doTest({ a: 150, b: -10 })).toMatchInlineSnapshot('"0 ask a, 100 ask b, 110 b failed, 150 answer of a"')
  })

  it('does not ask twice for one slow failure', async () => {
    expect(await doTest({ a: -120, b: 50, c: 10 })).toMatchInlineSnapshot('"0 ask a, 100 ask b, 120 a failed, 150 answer of b"')
  })

  it('gives up when all have failed', async () => {
    expect(await doTest({ a: -150, b: -10, c: -300 })).toMatchInlineSnapshot('"0 ask a, 100 ask b, 110 b failed, 110 ask c, 150 a failed, 410 c failed, 410 none: c failed"')
  })

  it('gives up at once without addresses', async () => {
    expect(await doTest({})).toMatchInlineSnapshot('"0 none: no address is known"')
  })
})
