import { describe, expect, it } from 'vitest'
import { findHarmfulRequests } from '../../src/crashes/findHarmfulRequests.js'

const RUN_MS = 30

/** Finds the harmful requests; each crash is given by its time in milliseconds and its suspects. */
function doTest (...crashes: Array<readonly [atMs: number, suspects: string]>): string[] {
  const found = findHarmfulRequests(crashes.map(([atMs, suspects], index) => ({
    target: `t${index}`, incarnation: '1', atMs, suspects: suspects.split(' ').map(fingerprint => ({ fingerprint, runMs: RUN_MS }))
  })))
  return found.map(({ fingerprint, crashes: count, lateCrashes, lastAtMs }) => `${fingerprint}: ${count} crashes, ${lateCrashes} late, last at ${lastAtMs}`)
}

describe('findHarmfulRequests', () => {
  it('finds a request under which three targets crashed', () => {
    expect(doTest([0, 'a'], [200, 'a'], [400, 'a'])).toEqual(['a: 3 crashes, 0 late, last at 400'])
  })

  it('finds nothing under which two targets crashed', () => {
    expect(doTest([0, 'a b'], [200, 'a'], [400, 'b'])).toEqual([])
  })

  it('does not count a crash against requests that were there beside a harmful one', () => {
    expect(doTest([0, 'a b'], [200, 'a b'], [400, 'a b'], [600, 'a'])).toEqual(['a: 4 crashes, 0 late, last at 600'])
  })

  it('waits for five crashes where two requests were at the same targets', () => {
    expect(doTest([0, 'a b'], [200, 'a b'], [400, 'a b'], [600, 'a b'])).toEqual([])
    expect(doTest([0, 'a b'], [200, 'a b'], [400, 'a b'], [600, 'a b'], [800, 'a b'])).toEqual(['a: 5 crashes, 0 late, last at 800', 'b: 5 crashes, 0 late, last at 800'])
  })

  it('counts targets that crash at one moment under runs that were in progress once', () => {
    expect(doTest([0, 'a'], [10, 'a'], [20, 'a'], [25, 'a'])).toEqual([])
  })

  it('counts each crash under a run that began after the crash before', () => {
    expect(doTest([0, 'a'], [40, 'a'], [80, 'a'])).toEqual(['a: 3 crashes, 0 late, last at 80'])
  })

  it('finds several harmful requests', () => {
    expect(doTest([0, 'a'], [50, 'b'], [200, 'a b'], [400, 'a'], [450, 'b'], [9000, 'b'])).toEqual(['b: 4 crashes, 1 late, last at 9000'])
    expect(doTest([0, 'a'], [50, 'b'], [200, 'a'], [400, 'a'], [450, 'b'], [9000, 'b'])).toEqual(['a: 3 crashes, 0 late, last at 400', 'b: 3 crashes, 1 late, last at 9000'])
  })
})
