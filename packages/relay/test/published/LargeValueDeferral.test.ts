import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { DEFERRAL_MS, LARGE_VALUE_CHARACTERS, LargeValueDeferral, TURN_MS } from '../../src/published/LargeValueDeferral.js'
import { type PublishedItem } from '../../src/published/PublishedItem.js'

const LARGE = 'x'.repeat(LARGE_VALUE_CHARACTERS)

const ITEMS: readonly PublishedItem[] = [
  { key: 'small', era: 1, revision: 5, value: 'x' },
  { key: 'large', era: 1, revision: 7, value: LARGE },
  { key: 'later', era: 1, revision: 9, value: 'x' }
]

interface Ask {
  readonly atMs: number
  readonly peer?: string
  readonly haveRevision?: number
  readonly haveEra?: number
  readonly items?: readonly PublishedItem[]
  readonly cannotReadStore?: boolean
}

/** Returns the keys that peers get, and the position up to which they are complete. */
async function doTest (asks: readonly Ask[]): Promise<string[]> {
  const clock = VirtualClock.create()
  const deferral = LargeValueDeferral.create(clock)
  const answers: string[] = []
  for (const { atMs, peer = 'p', haveRevision = 3, haveEra = 1, items = ITEMS, cannotReadStore } of asks) {
    await clock.advance(atMs - clock.nowMs())
    const changes = deferral.selectChanges(peer, { era: haveEra, revision: haveRevision }, { items, position: { era: 1, revision: 9 } }, cannotReadStore)
    answers.push(`${changes.items.map(({ key }) => key).join()} until ${changes.position.revision}`)
  }
  return answers
}

const WITHOUT = 'small,later until 6'
const WITH = 'small,large,later until 9'

describe('a large value', () => {
  it('is left out, with the answer complete up to the change before it', async () => {
    expect(await doTest([{ atMs: 0 }])).toEqual([WITHOUT])
  })

  it('is sent to a peer that has lacked it for long', async () => {
    expect(await doTest([{ atMs: 0 }, { atMs: DEFERRAL_MS - 1 }, { atMs: DEFERRAL_MS }])).toEqual([WITHOUT, WITHOUT, WITH])
  })

  it('is sent to a peer that lacks one after the other', async () => {
    const replaced = ITEMS.map(item => item.key === 'large' ? { ...item, revision: 8 } : item)
    expect(await doTest([{ atMs: 0 }, { atMs: DEFERRAL_MS, items: replaced, haveRevision: 6 }])).toEqual([WITHOUT, WITH])
  })

  it('is left out again for a peer that had the one before', async () => {
    const replaced = ITEMS.map(item => item.key === 'large' ? { ...item, revision: 8 } : item)
    expect(await doTest([{ atMs: 0 }, { atMs: DEFERRAL_MS, items: replaced, haveRevision: 7 }])).toEqual([WITHOUT, 'small,later until 7'])
  })

  it('is sent at once to a peer that the store does not answer, and in turn to the next ones', async () => {
    const ask = (atMs: number, peer: string): Ask => ({ atMs, peer, cannotReadStore: true })
    expect(await doTest([ask(0, 'p'), ask(100, 'q'), ask(TURN_MS, 'q'), ask(TURN_MS, 'r'), ask(2 * TURN_MS, 'r')])).toEqual([WITH, WITHOUT, WITH, WITHOUT, WITH])
  })

  it('is left out for each peer by itself', async () => {
    expect(await doTest([{ atMs: 0 }, { atMs: DEFERRAL_MS, peer: 'q' }])).toEqual([WITHOUT, WITHOUT])
  })

  it('is sent at once to a peer that has nothing or is in an earlier era', async () => {
    expect(await doTest([{ atMs: 0, haveRevision: 0 }, { atMs: 0, haveEra: 0, haveRevision: 50 }])).toEqual([WITH, WITH])
  })

  it('is sent at once when it is of an earlier era, since the store may have lost it', async () => {
    expect(await doTest([{ atMs: 0, items: ITEMS.map(item => ({ ...item, era: 0 })) }])).toEqual([WITH])
  })
})
