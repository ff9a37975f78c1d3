import { describe, expect, it } from 'vitest'
import { RoundRobin } from '../../src/collections/RoundRobin.js'

/** Takes at most two items of each list. */
function doTest (...lists: readonly string[]): string[] {
  const round = RoundRobin.create()
  return lists.map(list => round.take([...list], 2).join(''))
}

describe('RoundRobin', () => {
  it('takes all items in turn', () => expect(doTest('abc', 'abc', 'abc')).toEqual(['ab', 'ca', 'bc']))
  it('takes each item once where there are few', () => expect(doTest('a', 'ab', 'ab')).toEqual(['a', 'ab', 'ab']))
  it('goes on in a list that has changed', () => expect(doTest('abcd', 'abc', 'abcde')).toEqual(['ab', 'ca', 'bc']))
  it('takes nothing of an empty list, and then begins anew', () => expect(doTest('abc', '', 'abc')).toEqual(['ab', '', 'ab']))
})
