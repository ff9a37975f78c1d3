import { type Hello } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { computeProof, isProofValid, type ProofInput } from '../../src/index.js'

const KEY = 'key of the tests'

function createHello (instance: string, nonce: string): Hello {
  return { type: 'hello', protocol: 1, fleet: 'fleet', instance, incarnation: '1', availabilityZone: 'az1', region: 'r1', nonce }
}

const input: ProofInput = { role: 'dialer', own: createHello('a', 'n1'), other: createHello('b', 'n2') }

/** Tells whether a proof made for `input` is valid for a changed input or key. */
function doTest (changes: Partial<ProofInput>, key: string = KEY): boolean {
  return isProofValid(key, { ...input, ...changes }, computeProof(KEY, input))
}

describe('computeProof', () => {
  it('is valid for the same input', () => {
    expect(doTest({})).toBe(true)
  })

  it('is not valid under another key', () => {
    expect(doTest({}, 'another key here')).toBe(false)
  })

  it('is not valid for the other side, so it cannot be reflected', () => {
    expect(doTest({ role: 'acceptor' })).toBe(false)
  })

  it('is not valid for another nonce, so it cannot be replayed', () => {
    expect(doTest({ other: createHello('b', 'n3') })).toBe(false)
  })

  it('is not valid for another instance', () => {
    expect(doTest({ own: createHello('c', 'n1') })).toBe(false)
  })

  it('is not valid when its length differs', () => {
    expect(isProofValid(KEY, input, 'ab')).toBe(false)
  })
})
