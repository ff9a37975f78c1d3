import { type Hello } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { computeProof, isProofValid, type ProofInput } from '../../src/index.js'

const KEY = 'key of the tests'

function createHello (instance: string, nonce: string): Hello {
  return { type: 'hello', protocol: 1, fleet: 'fleet', instance, incarnation: '1', availabilityZone: 'az1', region: 'r1', nonce }
}

const input: ProofInput = { role: 'dialer', proverHello: createHello('a', 'n1'), verifierHello: createHello('b', 'n2') }

/** Returns whether a proof computed for `input` is valid for a changed input or key. */
function doTest (changes: Partial<ProofInput>, key: string = KEY): boolean {
  return isProofValid(key, { ...input, ...changes }, computeProof(KEY, input))
}

describe('computeProof', () => {
  it('is valid for the same input', () => {
    expect(doTest({})).toBe(true)
  })

  it('is not valid for another key', () => {
    expect(doTest({}, 'another key here')).toBe(false)
  })

  it('is not valid for the other role, so it cannot be reflected', () => {
    expect(doTest({ role: 'acceptor' })).toBe(false)
  })

  it('is not valid for another nonce, so it cannot be replayed', () => {
    expect(doTest({ verifierHello: createHello('b', 'n3') })).toBe(false)
  })

  it('is not valid for another instance', () => {
    expect(doTest({ proverHello: createHello('c', 'n1') })).toBe(false)
  })

  it('is not valid when its length differs', () => {
    expect(isProofValid(KEY, input, 'ab')).toBe(false)
  })
})
