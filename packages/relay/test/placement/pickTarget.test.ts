import { SeededRandom } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { hasCapacity, pickCallTarget, pickEngine, type TargetCandidate } from '../../src/placement/pickTarget.js'
import { createTarget, ENGINES } from '../support/createTestDependencies.js'

const profile = ENGINES.engine!

function createCandidate (name: string, change: Partial<TargetCandidate> = {}): TargetCandidate {
  const tracked = { target: createTarget(name), state: 'ready' as const, stateSinceMs: 0, slowStartEndMs: 0, hasExpired: false }
  return { tracked, load: { running: 1, tokens: 1000 }, failureRate: 0, isUnreachable: false, isInSlowStart: false, isLocal: true, ...change }
}

/** Picks between engines a and b, where b is changed, and returns how often b was picked in 20 attempts. */
function doTest (change: Partial<TargetCandidate>, tokens = 1000): number {
  const random = SeededRandom.create(7)
  const picks = Array.from({ length: 20 }, () => pickEngine([createCandidate('a'), createCandidate('b', change)], { profile, tokens, random }))
  return picks.filter(choice => choice?.tracked.target.name === 'b').length
}

describe('pickEngine', () => {
  it('picks the engine with the smaller batch', () => expect(doTest({ load: { running: 0, tokens: 0 } })).toBe(20))
  it('avoids an engine with more memory in use', () => expect(doTest({ load: { running: 1, tokens: 5000 } })).toBe(0))
  it('avoids an engine with pending prefill tokens', () => expect(doTest({ load: { running: 1, tokens: 1000, pendingPrefillTokens: 3000 } })).toBe(0))
  it('avoids an engine that failed recently', () => expect(doTest({ failureRate: 0.5 })).toBe(0))
  it('excludes an engine that cannot be reached', () => expect(doTest({ isUnreachable: true, load: { running: 0, tokens: 0 } })).toBe(0))
  it('avoids an engine in another availability zone', () => expect(doTest({ isLocal: false })).toBe(0))
  it('avoids an engine in its slow start', () => expect(doTest({ isInSlowStart: true })).toBe(0))
  it('prefers an engine that holds the beginning of the prompt', () => expect(doTest({ heldPrefixTokens: 1000 })).toBe(20))
  it('avoids an engine that holds less of the prompt than it has to read before', () => expect(doTest({ heldPrefixTokens: 1000, load: { running: 1, tokens: 1000, pendingPrefillTokens: 1300 } })).toBe(0))
  it('does not leave the zone for a beginning that saves less than that costs', () => expect(doTest({ heldPrefixTokens: 90, isLocal: false })).toBe(0))
  it('does not leave the group for a beginning that saves less than that costs', () => expect(doTest({ heldPrefixTokens: 2700, isPreferred: false })).toBe(0))
  it('excludes an engine without a free slot that holds the whole prompt', () => expect(doTest({ heldPrefixTokens: 50_000, load: { running: 4, tokens: 0 } })).toBe(0))
  it('excludes an engine without a free slot', () => expect(doTest({ load: { running: 4, tokens: 0 } })).toBe(0))
  it('avoids a slow engine', () => expect(doTest({ speed: 0.5 })).toBe(0))
  it('uses a slow engine when the others are much busier', () => expect(doTest({ speed: 0.5, load: { running: 0, tokens: 0 } })).toBe(20))
  it('prefers a fast engine', () => expect(doTest({ speed: 2 })).toBe(20))
  it('excludes a slow engine that has as many requests as it can run in time', () => expect(doTest({ speed: 0.5, load: { running: 0, tokens: 0 }, maxRunning: 0 })).toBe(0))
  it('excludes an engine without the memory that has to stay free for urgent requests', () => expect(doTest({ load: { running: 1, tokens: 0 }, headroomTokens: 9000 })).toBe(0))
  it('asks no engine whose free memory is kept for urgent requests, also when the engine decides', () => {
    const full = { load: { running: 4, tokens: 9900 } }
    const pick = (headroomTokens: number): string | undefined =>
      pickEngine([createCandidate('a', { ...full, headroomTokens })], { profile, tokens: 1000, random: SeededRandom.create(1), isDecidedByEngine: true })?.tracked.target.name
    expect([pick(0), pick(1000)]).toEqual(['a', undefined])
  })
  it('picks randomly between equal engines', () => expect(doTest({})).toBeGreaterThan(3))

  it('returns undefined when all engines are full', () => {
    const full = createCandidate('a', { load: { running: 2, tokens: 9000 } })
    expect(pickEngine([full], { profile, tokens: 1000, random: SeededRandom.create(1) })).toBeUndefined()
  })
})

describe('pickEngine with pending prompts', () => {
  /** Returns the score of an engine with pending prompts. */
  const getScore = (speed: number | undefined): number => {
    const candidate = createCandidate('a', { speed, load: { running: 1, tokens: 1000, pendingPrefillTokens: 2000 } })
    return pickEngine([candidate], { profile, tokens: 1000, random: SeededRandom.create(1), prefillTokens: 1000 })!.score
  }

  it('has the same score with speed 1 as without any speed', () => expect(getScore(1)).toBe(getScore(undefined)))
  it('weighs them and the own prompt more at a slow engine', () => expect(getScore(0.5) - getScore(1)).toBeCloseTo(1 / 4 + 2000 / 5000 + 1000 / 5000))
})

describe('hasCapacity', () => {
  it('lets a large generation run alone', () => expect(hasCapacity({ running: 0, tokens: 0 }, profile, 9900)).toBe(true))
  it('does not place a large generation next to others', () => expect(hasCapacity({ running: 1, tokens: 100 }, profile, 9900)).toBe(false))
})

describe('pickCallTarget', () => {
  const random = SeededRandom.create(3)
  const pick = (...candidates: TargetCandidate[]): string | undefined => pickCallTarget(candidates, random)?.tracked.target.name

  it('picks the least used target', () => expect(pick(createCandidate('a', { load: { running: 4, tokens: 0 } }), createCandidate('b'))).toBe('b'))
  it('picks a target in another zone when the local targets are busy', () => expect(pick(createCandidate('a', { load: { running: 4, tokens: 0 } }), createCandidate('b', { isLocal: false }))).toBe('b'))
  it('picks another target than a slow one', () => expect(pick(createCandidate('a', { speed: 0.5 }), createCandidate('b'))).toBe('b'))
  it('picks a slow target when the others are much busier', () => expect(pick(createCandidate('a', { speed: 0.5, load: { running: 0, tokens: 0 } }), createCandidate('b', { load: { running: 3, tokens: 0 } }))).toBe('a'))
  it('picks a target that cannot be reached when there is no other', () => expect(pick(createCandidate('a', { isUnreachable: true }))).toBe('a'))
  it('returns undefined without candidates', () => expect(pick()).toBeUndefined())
})
