import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { ConfigurationCore } from '../../src/index.js'

describe('ConfigurationCore', () => {
  function createCore (readsPerSecond?: number): { clock: VirtualClock, core: ConfigurationCore } {
    const clock = VirtualClock.create()
    return { clock, core: ConfigurationCore.create({ clock, readsPerSecond }) }
  }

  it('publishes all values in one revision', () => {
    const { core } = createCore()
    core.publish({ a: '1', b: '2' })
    core.publish({ b: '3' })
    expect(core.readSnapshot()).toMatchInlineSnapshot(`
      {
        "value": {
          "revision": 2,
          "values": {
            "b": "3",
          },
        },
        "variant": "Ok",
      }
    `)
  })

  it('returns the changes to a pending watch', async () => {
    const { core } = createCore()
    core.publish({ a: '1', b: '2' })
    const watch = core.watch(1, 1000)
    core.setValue('a')
    expect(await watch).toMatchInlineSnapshot(`
      {
        "value": {
          "changed": [
            {
              "key": "a",
            },
          ],
          "revision": 2,
        },
        "variant": "Ok",
      }
    `)
  })

  it('ends a watch without changes after its wait time', async () => {
    const { core, clock } = createCore()
    const watch = core.watch(0, 1000)
    await clock.advance(1000)
    expect(await watch).toMatchInlineSnapshot(`
      {
        "value": {
          "changed": [],
          "revision": 0,
        },
        "variant": "Ok",
      }
    `)
  })

  it('rejects calls above the rate limit until the next second', async () => {
    const { core, clock } = createCore(1)
    expect(core.readSnapshot().isOk).toBe(true)
    expect(core.readSnapshot()).toMatchInlineSnapshot(`
      {
        "error": {
          "error": "tooManyReads",
          "status": 429,
        },
        "variant": "Err",
      }
    `)
    await clock.advance(1000)
    expect(core.readSnapshot().isOk).toBe(true)
  })

  it('keeps serving an old revision while stale', () => {
    const { core } = createCore()
    core.setValue('a', '1')
    core.setStale(true)
    core.setValue('a', '2')
    expect(core.readSnapshot()).toMatchInlineSnapshot(`
      {
        "value": {
          "revision": 1,
          "values": {
            "a": "1",
          },
        },
        "variant": "Ok",
      }
    `)
    core.setStale(false)
    expect(core.readSnapshot()).toMatchInlineSnapshot(`
      {
        "value": {
          "revision": 2,
          "values": {
            "a": "2",
          },
        },
        "variant": "Ok",
      }
    `)
  })

  it('can serve an older revision', () => {
    const { core } = createCore()
    core.setValue('a', '1')
    core.setValue('b', '2')
    core.serveRevision(1)
    expect(core.readSnapshot()).toMatchInlineSnapshot(`
      {
        "value": {
          "revision": 1,
          "values": {
            "a": "1",
          },
        },
        "variant": "Ok",
      }
    `)
  })

  it('rejects a value that is too large', () => {
    const { core } = createCore()
    expect(core.setValue('a', 'x'.repeat(1_048_577))).toMatchInlineSnapshot(`
      {
        "error": "a: larger than 1048576 bytes",
        "variant": "Err",
      }
    `)
    expect(core.getRevision()).toBe(0)
  })

  it('ends pending watches when it becomes unavailable', async () => {
    const { core } = createCore()
    const watch = core.watch(0, 1000)
    core.setDown(true)
    expect(await watch).toMatchInlineSnapshot(`
      {
        "error": {
          "error": "down",
          "status": 503,
        },
        "variant": "Err",
      }
    `)
  })
})
