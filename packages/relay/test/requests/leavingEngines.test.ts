import { describe, expect, it } from 'vitest'
import { type EngineFailures } from '../support/LeavingEngines.js'
import { type LeavingPlayOptions, playLeavingEngines } from '../support/playLeavingEngines.js'

const SEEDS = [1, 2, 3]

const failures: EngineFailures = { silentShare: 0.4, silenceMs: [500, 4000], refusedCopyShare: 0.1, lostCopyShare: 0.05, lateCopyShare: 0.1, refusedShare: 0.05 }
const play: LeavingPlayOptions = { failures, leavingAtOnce: 2, crowdedShare: 0, extraAttempts: 50 }

const PLAYS: Readonly<Record<string, LeavingPlayOptions>> = {
  'fall silent': play,
  'fall silent for long': { ...play, failures: { ...failures, silenceMs: [2000, 10_000] } },
  'are full at times': { ...play, crowdedShare: 0.3 },
  'reserve capacity and are full at times': { ...play, crowdedShare: 0.2, isLoadPartial: true },
  'refuse copies and lose their answers': { ...play, failures: { ...failures, refusedCopyShare: 0.3, lostCopyShare: 0.3 } },
  'fall silent beside a small retry budget': { ...play, extraAttempts: 1 },
  'fall silent while this instance stops': { ...play, crowdedShare: 0.2, extraAttempts: 5.8, stopsAtMs: 15_000 }
}

/** Guards against LOST, ORDER, TWICE and BUDGET: answers that have begun and are broken off with time left, in pieces of two runs, or by too many runs. */
describe.each(Object.entries(PLAYS))('streams that may be resumed, at engines that leave and %s', (_, options) => {
  it.each(SEEDS)('are not broken off while they have time, run in order, and at no more engines than allowed (seed %i)', async seed => {
    const { broken, disordered, doubled, excessive } = await playLeavingEngines(options, seed)
    expect({ broken: broken.filter(({ isResumable }) => isResumable), disordered, doubled, excessive }).toEqual({ broken: [], disordered: [], doubled: [], excessive: [] })
  })
})
