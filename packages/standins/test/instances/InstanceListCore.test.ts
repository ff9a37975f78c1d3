import { VirtualClock } from '@fescuespoke/common'
import { type ListedEntry } from '@fescuespoke/schema'
import { describe, expect, it } from 'vitest'
import { InstanceListCore, type ListFault } from '../../src/index.js'

describe('InstanceListCore', () => {
  const clock = VirtualClock.create()

  function createCore (lagMs = 0): InstanceListCore {
    const core = InstanceListCore.create({ clock, lagMs })
    core.setEntries(['i1', 'i2', 'i3'].map(id => ({ id, role: 'entry', state: 'live' } satisfies ListedEntry)))
    return core
  }

  async function readIds (core: InstanceListCore): Promise<unknown> {
    const list = await core.watch(-1, 0)
    return list.isOk ? list.value.entries.map(entry => entry?.id) : list.error
  }

  it('shows a change after the delay', async () => {
    const core = createCore(500)
    expect(await readIds(core)).toEqual([])
    const watch = core.watch(0, 10_000)
    await clock.advance(500)
    expect((await watch).map(list => list.version)).toMatchObject({ value: 1 })
    expect(await readIds(core)).toEqual(['i1', 'i2', 'i3'])
  })

  it('shows leaving entries and omits removed ones', async () => {
    const core = createCore()
    core.setState('i2', 'leaving')
    core.remove('i3')
    expect(await core.watch(-1, 0)).toMatchInlineSnapshot(`
      {
        "value": {
          "entries": [
            {
              "id": "i1",
              "role": "entry",
              "state": "live",
            },
            {
              "id": "i2",
              "role": "entry",
              "state": "leaving",
            },
          ],
          "version": 3,
        },
        "variant": "Ok",
      }
    `)
  })

  function doTest (fault: ListFault, expected: unknown): void {
    it(`can have the fault: ${fault}`, async () => {
      const core = createCore()
      core.setFault(fault)
      expect(await readIds(core)).toEqual(expected)
      core.setFault('none')
      expect(await readIds(core)).toEqual(['i1', 'i2', 'i3'])
    })
  }

  doTest('empty', [])
  doTest('half', ['i1', 'i3'])
  doTest('garbage', [7, undefined, undefined])

  it('returns an error while it is unavailable', async () => {
    const core = createCore()
    core.setDown(true)
    expect(await readIds(core)).toMatchInlineSnapshot(`
      {
        "error": "down",
        "status": 503,
      }
    `)
  })
})
