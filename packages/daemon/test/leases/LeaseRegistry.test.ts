import { SeededRandom, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { formatLeaseToken, LeaseRegistry, parseLeaseToken } from '../../src/index.js'

function createRegistry (clock: VirtualClock, maxLeases = 10): LeaseRegistry {
  return LeaseRegistry.create({
    instance: 'i', incarnation: 'n', clock, random: SeededRandom.create(1), leaseMs: 1000, retentionMs: 500, maxLeases
  })
}

describe('LeaseRegistry', () => {
  it('grants leases that differ in serial number and secret', () => {
    const registry = createRegistry(VirtualClock.create())
    const tokens = [1, 2].map(() => registry.grantLease('w').mapOr('', ({ token }) => token))
    expect(tokens).toMatchInlineSnapshot(`
      [
        "i~n~1~fee0411d7ab52e13a21c10c1ff994f9e",
        "i~n~2~287da9725fe11e84aa69f45916197571",
      ]
    `)
  })

  it('grants no lease while too many are stored, and grants one again afterwards', async () => {
    const clock = VirtualClock.create()
    const registry = createRegistry(clock, 1)
    const first = registry.grantLease('w').isJust
    const second = registry.grantLease('w').isJust
    await clock.advance(1500)
    expect([first, second, registry.grantLease('w').isJust]).toEqual([true, false, true])
  })

  it('retains a lease after it has expired', async () => {
    const clock = VirtualClock.create()
    const registry = createRegistry(clock)
    const lease = registry.grantLease('w').unwrapOrElse(() => { throw new Error('no lease') })
    await clock.advance(1200)
    expect([registry.findLease(lease.token).isJust, registry.isActive(lease)]).toEqual([true, false])
  })
})

describe('parseLeaseToken', () => {
  it('parses a formatted token', () => {
    const leaseId = { instance: 'entry-1', incarnation: 'ab12', serial: 7, secret: '0123456789abcdef' }
    expect(parseLeaseToken(formatLeaseToken(leaseId)).unwrapOr(undefined)).toEqual(leaseId)
  })

  it('rejects malformed tokens', () => {
    expect(['', 'a~b~c~d', 'a~b~1~short', 'a/b~c~1~0123456789abcdef'].map(text => parseLeaseToken(text).isJust)).toEqual([false, false, false, false])
  })
})
