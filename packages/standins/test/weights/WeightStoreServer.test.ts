import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { HttpWeightSource, WeightStoreCore, WeightStoreServer } from '../../src/index.js'

describe('WeightStoreServer', () => {
  it('serves weights within its rate limit', async () => {
    const clock = VirtualClock.create()
    const core = WeightStoreCore.create({ clock, fetchesPerMinute: 1 })
    const server = await WeightStoreServer.create({ core, clock })
    const source = HttpWeightSource.create({ url: server.url })
    const results = [await source.fetchWeights('a/b'), await source.fetchWeights('c')]
    await clock.advance(60_000)
    results.push(await source.fetchWeights('c'))
    await server.close()
    expect(results.map(answer => answer.isOk ? 'ok' : answer.error.status)).toEqual(['ok', 429, 'ok'])
    expect(core.listFetchedModels()).toEqual(['a/b', 'c'])
    expect(await source.fetchWeights('c')).toMatchObject({ error: { status: 503 } })
  })
})
