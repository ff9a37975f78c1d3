import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { computeFingerprint } from '../../src/crashes/computeFingerprint.js'
import { createOwner, formatEvents, type Owner } from '../support/createOwner.js'
import { createEnd, createTokens } from '../support/FakeTargetClient.js'

const BODY = { service: 'held', prompt: 'p' }

/** Lets three targets crash under the same request as the first one, with some time between them. */
async function crashTargets ({ requests, lease, crashRecords, clock }: Owner): Promise<void> {
  const entry = requests.findRequest(lease, 1).unwrapOrElse(() => { throw new Error('no request') })
  const suspects = [{ fingerprint: computeFingerprint(entry), runMs: 30 }]
  for (const target of ['t1', 't2', 't3']) {
    crashRecords.addCrash({ target, incarnation: '1', atMs: clock.nowMs(), suspects }, 'peer')
    await clock.advance(200)
  }
}

function createCrashingOwner (): Owner {
  const owner = createOwner()
  owner.scheduler.delayMs = 5000
  owner.targetClient.streams.set('t1', [[createTokens(0, 1), createEnd(1)], [createTokens(0, 1), createEnd(1)]])
  return owner
}

describe('HarmfulRequests', () => {
  it('refuses a request that waits for a target as soon as it is found to be harmful', async () => {
    const owner = createCrashingOwner()
    const events = owner.submit(1, BODY)
    await owner.clock.advance(100)
    await crashTargets(owner)
    expect(formatEvents(events)).toEqual(['accepted i~n~1~1 whole', 'end notRun crashesTargets'])
  })

  it('lets a request that waits for a target go on when another one is found to be harmful', async () => {
    const owner = createCrashingOwner()
    owner.submit(1, BODY)
    const events = owner.submit(2, { ...BODY, prompt: 'q' })
    await owner.clock.advance(100)
    await crashTargets(owner)
    await owner.clock.advance(6000)
    expect(formatEvents(events).at(-1)).toBe('end complete finished')
  })

  it('counts a call whose connection was closed by a target that is gone, and none that was given up without a reply', async () => {
    const owner = createOwner()
    owner.targetClient.fetchState = async () => Result.err('unreachable')
    owner.targetClient.calls.set('t1', [Result.err('replyLost'), 'hang'])
    const countLosses = async (number: number, waitMs: number): Promise<number> => {
      owner.submit(number, { service: 'charge', body: number })
      await owner.clock.advance(waitMs)
      return owner.crashRecords.listOpenCrashes().flatMap(({ suspects }) => suspects).length
    }
    expect([await countLosses(1, 1000), await countLosses(2, 100_000)]).toEqual([1, 1])
    expect(owner.targetClient.log).toEqual(['call i~n~1~1 at t1', 'call i~n~1~2 at t1'])
  })

  it('lets one request try after half a minute, and refuses it no longer once it was answered', async () => {
    const owner = createCrashingOwner()
    owner.submit(1, BODY)
    await crashTargets(owner)
    owner.scheduler.delayMs = 10
    const ends: string[] = []
    for (let number = 2; number < 7; number++) {
      const events = owner.submit(number, BODY)
      await owner.clock.advance(12_000)
      ends.push(formatEvents(events).at(-1)!)
    }
    expect(ends).toEqual(['end notRun crashesTargets', 'end notRun crashesTargets', 'end notRun crashesTargets', 'end complete finished', 'end complete finished'])
  })
})
