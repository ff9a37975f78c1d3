import { VirtualClock } from '@fescuespoke/common'
import { type CreditAnswer, type CreditRequest } from '@fescuespoke/schema'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CreditCoordinator } from '../../src/credits/CreditCoordinator.js'
import { type TargetCapacity } from '../../src/targets/TargetCapacities.js'

const CAPACITY: TargetCapacity = { capacityTokens: 10_000, maxSequences: 20, usedTokens: 0, reportedSequences: 0, stepMs: 30 }

function createRequest (heldTokens: number, wantTokens: number, extra: Partial<CreditRequest> = {}): CreditRequest {
  return { type: 'creditRequest', target: 't', heldTokens, heldSequences: Math.ceil(heldTokens / 500), wantTokens, wantSequences: Math.ceil(wantTokens / 500), priority: 'normal', ...extra }
}

function doTest (requests: ReadonlyArray<readonly [string, number, number]>, capacity = CAPACITY): string {
  const coordinator = CreditCoordinator.create({ clock: VirtualClock.create(), getCapacity: () => capacity })
  const formatAnswer = (answer: CreditAnswer): string => `${answer.tokens}/${answer.sequences}`
  return requests.map(([requester, heldTokens, wantTokens]) => formatAnswer(coordinator.answerRequest(requester, createRequest(heldTokens, wantTokens)))).join(' ')
}

describe('CreditCoordinator', () => {
  it('grants more than requested while there is spare capacity', () => expect(doTest([['a', 0, 500]])).toMatchInlineSnapshot('"5000/10"'))
  it('grants the rest to the next requester', () => expect(doTest([['a', 0, 4000], ['b', 0, 8000]])).toMatchInlineSnapshot('"6750/14 1833/4"'))
  it('grants nothing if not one whole request fits', () => expect(doTest([['a', 9200, 0], ['b', 0, 500]])).toMatchInlineSnapshot('"9200/19 0/0"'))
  it('reclaims capacity from a holder above its share when others request more', () => {
    expect(doTest([['a', 9400, 500], ['b', 0, 500], ['a', 9400, 500]])).toMatchInlineSnapshot('"9400/19 0/0 8460/18"')
  })

  it('counts memory that no holder has reported', () => {
    const busy = { ...CAPACITY, usedTokens: 9000 }
    const last = doTest(Array.from({ length: 60 }, () => ['a', 0, 500] as const), busy).split(' ').at(-1)
    expect(last).toMatchInlineSnapshot('"707/10"')
  })

  it('grants the capacity of an expired credit again', async () => {
    const clock = VirtualClock.create()
    const coordinator = CreditCoordinator.create({ clock, getCapacity: () => CAPACITY })
    coordinator.answerRequest('a', createRequest(0, 9000))
    const before = coordinator.answerRequest('b', createRequest(0, 5000)).tokens
    await clock.advance(2000)
    expect([before, coordinator.answerRequest('b', createRequest(0, 5000)).tokens >= 5000]).toEqual([0, true])
  })

  it('never grants more than the capacity of the target, whatever is requested', () => {
    const step = fc.record({ requester: fc.constantFrom('a', 'b', 'c', 'd'), usedFraction: fc.double({ min: 0, max: 1, noNaN: true }), wantTokens: fc.integer({ min: 0, max: 6000 }) })
    fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), steps => {
      const heldTokensByRequester = new Map<string, number>()
      const getCapacity = (): TargetCapacity => ({ ...CAPACITY, usedTokens: [...heldTokensByRequester.values()].reduce((sum, tokens) => sum + tokens, 0) })
      const coordinator = CreditCoordinator.create({ clock: VirtualClock.create(), getCapacity })
      const answers = new Map<string, CreditAnswer>()
      for (const { requester, usedFraction, wantTokens } of steps) {
        const heldTokens = Math.floor((answers.get(requester)?.tokens ?? 0) * usedFraction)
        const heldSequences = Math.floor((answers.get(requester)?.sequences ?? 0) * usedFraction)
        heldTokensByRequester.set(requester, heldTokens)
        answers.set(requester, coordinator.answerRequest(requester, createRequest(heldTokens, wantTokens, { heldSequences })))
        const granted = [...answers.values()]
        expect(granted.reduce((sum, { tokens }) => sum + tokens, 0)).toBeLessThanOrEqual(CAPACITY.capacityTokens)
        expect(granted.reduce((sum, { sequences }) => sum + sequences, 0)).toBeLessThanOrEqual(CAPACITY.maxSequences)
      }
    }), { seed: 1, numRuns: 100 })
  })
})
