import { SeededRandom } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { hasRoom, pickCallTarget, pickEngine, type TargetOption } from '../../src/placement/pickTarget.js'
import { createTarget, ENGINES } from '../support/createTools.js'

const profile = ENGINES.engine!

function createOption (name: string, change: Partial<TargetOption> = {}): TargetOption {
  const known = { target: createTarget(name), state: 'ready' as const, sinceMs: 0, slowUntilMs: 0 }
  return { known, load: { running: 1, tokens: 1000 }, failureShare: 0, isUnreachable: false, isSlow: false, isNear: true, ...change }
}

/** Picks among engines a and b, of which b differs, and returns how often b was taken in 20 picks. */
function doTest (change: Partial<TargetOption>, tokens = 1000): number {
  const random = SeededRandom.create(7)
  const picks = Array.from({ length: 20 }, () => pickEngine([createOption('a'), createOption('b', change)], { profile, tokens, random }))
  return picks.filter(choice => choice?.known.target.name === 'b').length
}

describe('pickEngine', () => {
  it('takes the one with the smaller batch', () => expect(doTest({ load: { running: 0, tokens: 0 } })).toBe(20))
  it('leaves one with more memory in use', () => expect(doTest({ load: { running: 1, tokens: 5000 } })).toBe(0))
  it('leaves one where prompts wait to be read', () => expect(doTest({ load: { running: 1, tokens: 1000, unread: 3000 } })).toBe(0))
  it('leaves one that failed lately', () => expect(doTest({ failureShare: 0.5 })).toBe(0))
  it('leaves one that cannot be reached', () => expect(doTest({ isUnreachable: true, load: { running: 0, tokens: 0 } })).toBe(0))
  it('leaves one in another zone', () => expect(doTest({ isNear: false })).toBe(0))
  it('leaves one that has just started', () => expect(doTest({ isSlow: true })).toBe(0))
  it('leaves one without a slot', () => expect(doTest({ load: { running: 4, tokens: 0 } })).toBe(0))
  it('chooses between equal ones by chance', () => expect(doTest({})).toBeGreaterThan(3))

  it('finds none when all are full', () => {
    const full = createOption('a', { load: { running: 2, tokens: 9000 } })
    expect(pickEngine([full], { profile, tokens: 1000, random: SeededRandom.create(1) })).toBeUndefined()
  })
})

describe('hasRoom', () => {
  it('lets a large generation run alone', () => expect(hasRoom({ running: 0, tokens: 0 }, profile, 9900)).toBe(true))
  it('does not put it beside others', () => expect(hasRoom({ running: 1, tokens: 100 }, profile, 9900)).toBe(false))
})

describe('pickCallTarget', () => {
  const random = SeededRandom.create(3)
  const pick = (...options: TargetOption[]): string | undefined => pickCallTarget(options, random)?.known.target.name

  it('takes the least used target', () => expect(pick(createOption('a', { load: { running: 4, tokens: 0 } }), createOption('b'))).toBe('b'))
  it('takes a far one when near ones are busy', () => expect(pick(createOption('a', { load: { running: 4, tokens: 0 } }), createOption('b', { isNear: false }))).toBe('b'))
  it('takes one that cannot be reached when there is no other', () => expect(pick(createOption('a', { isUnreachable: true }))).toBe('a'))
  it('finds none among none', () => expect(pick()).toBeUndefined())
})
