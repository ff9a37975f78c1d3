import { VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { sendHedgedRequest } from '../../src/http/sendHedgedRequest.js'

const HEDGE_MS = 100

/**
 * Sends a hedged request to instances that respond after the given delays. A negative delay makes an instance fail
 * after its absolute value.
 */
async function doTest (delaysMs: Readonly<Record<string, number>>): Promise<string> {
  const clock = VirtualClock.create()
  const events: string[] = []
  const pendingResponse = sendHedgedRequest<string>({
    clock,
    urls: Object.keys(delaysMs),
    hedgeMs: HEDGE_MS,
    send: async url => {
      events.push(`${clock.nowMs()} send ${url}`)
      const delayMs = delaysMs[url] ?? 0
      await clock.sleep(Math.abs(delayMs))
      return delayMs < 0 ? Result.err({ kind: 'interrupted', detail: `${url} failed` }) : Result.ok(`response of ${url}`)
    },
    onFailure: url => { events.push(`${clock.nowMs()} ${url} failed`) }
  })
  pendingResponse.then(response => {
    events.push(`${clock.nowMs()} ${response.match({ Ok: ({ value }) => value, Err: ({ detail }) => `none: ${detail}` })}`)
  })
  await clock.advance(10_000)
  return events.join(', ')
}

describe('sendHedgedRequest', () => {
  it('sends to one instance if it responds within the hedging delay', async () => {
    expect(await doTest({ a: 50, b: 10 })).toMatchInlineSnapshot('"0 send a, 50 response of a"')
  })

  it('sends to the next instance after a failure', async () => {
    expect(await doTest({ a: -50, b: 10 })).toMatchInlineSnapshot('"0 send a, 50 a failed, 50 send b, 60 response of b"')
  })

  it('also sends to the next instance after the hedging delay', async () => {
    expect(await doTest({ a: 5000, b: 10, c: 10 })).toMatchInlineSnapshot('"0 send a, 100 send b, 110 response of b"')
  })

  it('returns a slow response if the next instance fails', async () => {
    expect(await doTest({ a: 150, b: -10 })).toMatchInlineSnapshot('"0 send a, 100 send b, 110 b failed, 150 response of a"')
  })

  it('sends to only one further instance if a slow instance fails', async () => {
    expect(await doTest({ a: -120, b: 50, c: 10 })).toMatchInlineSnapshot('"0 send a, 100 send b, 120 a failed, 150 response of b"')
  })

  it('fails when all instances have failed', async () => {
    expect(await doTest({ a: -150, b: -10, c: -300 })).toMatchInlineSnapshot('"0 send a, 100 send b, 110 b failed, 110 send c, 150 a failed, 410 c failed, 410 none: c failed"')
  })

  it('fails immediately without addresses', async () => {
    expect(await doTest({})).toMatchInlineSnapshot('"0 none: no address is available"')
  })
})
