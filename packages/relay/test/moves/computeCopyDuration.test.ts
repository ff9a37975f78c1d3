import { describe, expect, it } from 'vitest'
import { computeCopyDurationMs } from '../../src/moves/computeCopyDuration.js'
import { ENGINES } from '../support/createTestDependencies.js'

const profile = ENGINES.engine!

describe('computeCopyDurationMs', () => {
  it('divides the size by the bandwidth of the link', () => {
    expect(computeCopyDurationMs(1000, profile)).toBe(8)
  })

  it('returns 0 when the bandwidth is unknown', () => {
    expect(computeCopyDurationMs(1000, { ...profile, linkMbps: 0 })).toBe(0)
  })
})
