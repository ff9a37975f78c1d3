import { describe, expect, it } from 'vitest'
import { createRequestsState, replayTrace, requestsModel } from '../../src/index.js'
import { RealOwner } from '../support/RealOwner.js'
import { submitCopy } from '../support/submitCopy.js'

describe('a copy of a request', () => {
  /** Submits a copy to a process that may not run it, and compares with the model. */
  async function doTest (instance: string, incarnation: string, trace: readonly string[], reach: (owner: RealOwner) => RealOwner): Promise<string> {
    const granter = new RealOwner('charge')
    const reached = reach(granter)
    const events = await submitCopy({ instance, incarnation, owner: reached }, granter.lease.token, 'charge')
    const { states, refused } = replayTrace({ model: requestsModel, initial: createRequestsState('charge'), trace })
    expect([refused, states.at(-1)?.answers]).toEqual([undefined, ['unknown']])
    expect(reached.requests.countRunning()).toBe(0)
    return events.map(event => event.type === 'end' ? `${event.outcome} ${event.reason}` : event.type).join('; ')
  }

  it('is answered unknown by another instance that does not reach the owner', async () => {
    expect(await doTest('j', 'n', ['submit 2'], () => new RealOwner('charge'))).toBe('unknown ownerUnreachable')
  })

  it('is answered unknown by the next incarnation', async () => {
    expect(await doTest('i', 'm', ['restart', 'submit 1'], () => new RealOwner('charge'))).toBe('unknown ownerRestarted')
  })

  it('is answered unknown by an owner that has forgotten the lease', async () => {
    const forget = (owner: RealOwner): RealOwner => {
      owner.leaseClock.jump(1_000_000)
      owner.leases.pruneLeases()
      return owner
    }
    expect(await doTest('i', 'n', ['expireLease', 'forgetLease', 'submit 0'], forget)).toBe('unknown leaseUnknown')
  })
})
