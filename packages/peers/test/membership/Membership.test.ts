import { describe, expect, it } from 'vitest'
import { TestFleet, type TestFleetOptions } from './TestFleet.js'

async function doTest (options: TestFleetOptions, act: (fleet: TestFleet) => Promise<void>): Promise<Record<string, number>> {
  const fleet = TestFleet.create(options)
  await act(fleet)
  return fleet.countViews()
}

describe('Membership', () => {
  it('finds every instance of a small fleet', async () => {
    const views = await doTest({ size: 5 }, async fleet => await fleet.clock.advance(10_000))
    expect(views).toMatchInlineSnapshot(`
      {
        "i01 i02 i03 i04 i05": 5,
      }
    `)
  })

  it('notices a killed instance', async () => {
    const views = await doTest({ size: 5 }, async fleet => {
      await fleet.clock.advance(10_000)
      fleet.kill('i03')
      await fleet.clock.advance(15_000)
    })
    expect(views).toMatchInlineSnapshot(`
      {
        "i01 i02 i04 i05": 4,
      }
    `)
  })
})
