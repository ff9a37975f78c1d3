import { describe, expect, it } from 'vitest'
import { type RequestKind } from '../../src/index.js'
import { replayWalks } from '../support/replayWalks.js'

describe('the owner', () => {
  async function doTest (kind: RequestKind): Promise<void> {
    const { differences, steps } = await replayWalks(kind)
    expect(differences).toEqual([])
    expect(steps).toBeGreaterThan(2000)
  }

  it('takes the steps of a non-idempotent call as the model does', async () => await doTest('charge'))
  it('takes the steps of an idempotent call as the model does', async () => await doTest('lookup'))
})
