import { describe, expect, it } from 'vitest'
import { type RequestKind } from '../../src/index.js'
import { replayWalks } from '../support/replayWalks.js'

describe('RequestService with calls', () => {
  async function doTest (kind: RequestKind): Promise<void> {
    const { differences, stepCount } = await replayWalks(kind)
    expect(differences).toEqual([])
    expect(stepCount).toBeGreaterThan(2000)
  }

  it('matches the model for a non-idempotent call', async () => await doTest('charge'))
  it('matches the model for an idempotent call', async () => await doTest('lookup'))
})
