import { describe, expect, it } from 'vitest'
import { createRequestsState, replayTrace, requestsModel } from '../../src/index.js'
import { OwnerDriver } from '../support/OwnerDriver.js'
import { submitCopy } from '../support/submitCopy.js'

describe('a copy of a request', () => {
  /** Submits a copy to a process that must not run it, and compares the answer with the model. */
  async function doTest (instance: string, incarnation: string, trace: readonly string[], chooseRecipient: (owner: OwnerDriver) => OwnerDriver): Promise<string> {
    const leaseOwner = new OwnerDriver('charge')
    const recipient = chooseRecipient(leaseOwner)
    const events = await submitCopy({ instance, incarnation, owner: recipient }, leaseOwner.lease.token, 'charge')
    const { states, rejectedStep } = replayTrace({ model: requestsModel, initial: createRequestsState('charge'), trace })
    expect([rejectedStep, states.at(-1)?.sentOutcomes]).toEqual([undefined, ['unknown']])
    expect(recipient.requests.countRunning()).toBe(0)
    return events.map(event => event.type === 'end' ? `${event.outcome} ${event.reason}` : event.type).join('; ')
  }

  it('is answered with unknown by another instance that cannot reach the owner', async () => {
    expect(await doTest('j', 'n', ['submit 2'], () => new OwnerDriver('charge'))).toBe('unknown ownerUnreachable')
  })

  it('is answered with unknown by the next incarnation', async () => {
    expect(await doTest('i', 'm', ['restart', 'submit 1'], () => new OwnerDriver('charge'))).toBe('unknown ownerRestarted')
  })

  it('is answered with unknown by an owner that has removed the lease', async () => {
    const removeLease = (owner: OwnerDriver): OwnerDriver => {
      owner.leaseClock.jump(1_000_000)
      owner.leases.pruneLeases()
      return owner
    }
    expect(await doTest('i', 'n', ['expireLease', 'removeLease', 'submit 0'], removeLease)).toBe('unknown leaseUnknown')
  })
})
