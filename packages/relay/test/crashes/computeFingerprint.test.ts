import { describe, expect, it } from 'vitest'
import { computeFingerprint, isFingerprint } from '../../src/crashes/computeFingerprint.js'
import { type RelayRequest } from '../../src/requests/RelayRequest.js'
import { createRequest } from '../support/createTestDependencies.js'

const REQUEST: Partial<RelayRequest> = { method: 'POST', path: '/a?b=c', body: Buffer.from('x') }

function doTest (change: Partial<RelayRequest> = {}, workspace: string | undefined = 'w'): string {
  return computeFingerprint({ request: createRequest({ ...REQUEST, ...change }), workspace })
}

describe('computeFingerprint', () => {
  it('is the same for a request that comes again under another id, with other headers and another key of its workspace', () => {
    expect(doTest({ id: 'q2', headers: ['a', 'b'], key: 'k', remainingMs: 10, receivedAtMs: 7, lastEventId: '4', host: 'H' })).toBe(doTest())
    expect(doTest()).toMatchInlineSnapshot('"=soMnicH4ltTk"')
  })

  it.each<[string, Partial<RelayRequest>, string?]>([
    ['path', { path: '/a?b=d' }], ['method', { method: 'PUT' }], ['host', { host: 'other' }], ['body', { body: Buffer.from('y') }], ['shared parts', { sharedParts: ['a'] }], ['workspace', {}, 'v']
  ])('tells requests apart by their %s', (_, change, workspace) => {
    expect(doTest(change, workspace)).not.toBe(doTest())
  })

  it('does not look like the id of a part of a prompt', () => {
    expect([isFingerprint(doTest()), isFingerprint('5c1e07a2')]).toEqual([true, false])
  })
})
