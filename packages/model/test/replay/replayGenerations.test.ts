import { describe, expect, it } from 'vitest'
import { type RequestKind } from '../../src/index.js'
import { OwnerDriver } from '../support/OwnerDriver.js'
import { replayWalks } from '../support/replayWalks.js'

describe('RequestService with generations', () => {
  async function doTest (kind: RequestKind): Promise<void> {
    const { differences, stepCount } = await replayWalks(kind)
    expect(differences).toEqual([])
    expect(stepCount).toBeGreaterThan(2000)
  }

  it('matches the model for a streamed generation', async () => await doTest('streamed'))
  it('matches the model for a buffered generation', async () => await doTest('buffered'))

  it('does not answer notRun when a stream is lost and reconnecting to its target fails', async () => {
    const owner = new OwnerDriver('streamed')
    await owner.submit()
    await owner.dispatch()
    await owner.reopen(1)
    await owner.failConnect(1, 0)
    await owner.clock.advance(0)
    await owner.giveUp()
    await owner.clock.advance(0)
    expect(owner.findEntry()?.getEnd().unwrapOr(undefined)?.outcome).toBe('failed')
  })

  it('fails a generation whose tokens are delivered after its target is lost', async () => {
    const owner = new OwnerDriver('streamed')
    await owner.submit()
    await owner.dispatch()
    await owner.receive(1, 0, false)
    await owner.cut(1)
    await owner.clock.advance(0)
    expect(await owner.deliver(0)).toMatchObject({ generation: 'g1', offset: 0 })
    await owner.dispatch()
    expect(owner.findEntry()?.getEnd().unwrapOr(undefined)?.outcome).toBe('failed')
  })
})
