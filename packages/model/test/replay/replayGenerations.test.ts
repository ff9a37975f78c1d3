import { describe, expect, it } from 'vitest'
import { type RequestKind } from '../../src/index.js'
import { RealOwner } from '../support/RealOwner.js'
import { replayWalks } from '../support/replayWalks.js'

describe('the owner', () => {
  async function doTest (kind: RequestKind): Promise<void> {
    const { differences, steps } = await replayWalks(kind)
    expect(differences).toEqual([])
    expect(steps).toBeGreaterThan(2000)
  }

  it('takes the steps of a streamed generation as the model does', async () => await doTest('streamed'))
  it('takes the steps of a held generation as the model does', async () => await doTest('held'))

  it('does not answer notRun when a stream was cut before its target could not be connected again', async () => {
    const owner = new RealOwner('streamed')
    await owner.submit()
    await owner.dispatch()
    await owner.reopen(1)
    await owner.failConnect(1, 0)
    await owner.clock.advance(0)
    await owner.giveUp()
    await owner.clock.advance(0)
    expect(owner.findEntry()?.getEnd().unwrapOr(undefined)?.outcome).toBe('failed')
  })

  it('fails a generation whose tokens were delivered after its target was lost', async () => {
    const owner = new RealOwner('streamed')
    await owner.submit()
    await owner.dispatch()
    await owner.take(1, 0, false)
    await owner.cut(1)
    await owner.clock.advance(0)
    expect(await owner.deliver(0)).toMatchObject({ generation: 'g1', offset: 0 })
    await owner.dispatch()
    expect(owner.findEntry()?.getEnd().unwrapOr(undefined)?.outcome).toBe('failed')
  })
})
