import { VirtualClock } from '@fescuespoke/common'
import { type Order } from '@fescuespoke/schema'
import { beforeEach, describe, expect, it } from 'vitest'
import { type EngineCore, type EngineOptions, WeightStoreCore } from '../../src/index.js'
import { createSpec, createTestEngine, startGeneration } from './support.js'

describe('ModelManager', () => {
  let clock: VirtualClock

  beforeEach(() => { clock = VirtualClock.create() })

  function createEngine (options: Partial<EngineOptions> = {}): EngineCore {
    return createTestEngine(clock, { models: [{ model: 'm' }], loadMs: 2000, ...options })
  }

  function createLoadOrder (fields: Partial<Order> = {}): Order {
    return { fence: 1, action: 'load', model: 'n', version: '2', ...fields }
  }

  function formatModels (engine: EngineCore): string[] {
    return (engine.getState().models ?? []).map(({ model, version, state }) => `${model} ${version ?? ''} ${state}`)
  }

  it('rejects generations for a model that is not loaded', () => {
    expect(createEngine().startGeneration('g', createSpec({ model: 'n' }))).toMatchObject({ error: { error: 'modelNotLoaded' } })
  })

  it('finishes loading a model after the load time', async () => {
    const engine = createEngine()
    engine.applyOrder(createLoadOrder())
    await clock.advance(1999)
    expect(formatModels(engine)).toEqual(['m  ready', 'n 2 loading'])
    await clock.advance(1)
    expect(formatModels(engine)).toEqual(['m  ready', 'n 2 ready'])
  })

  it('retries a load that the rate limit of the weight store rejected', async () => {
    const weightStore = WeightStoreCore.create({ clock, fetchesPerMinute: 1 })
    const engine = createEngine({ weightSource: weightStore })
    engine.applyOrder(createLoadOrder({ model: 'a' }))
    engine.applyOrder(createLoadOrder({ model: 'b' }))
    await clock.advance(30_000)
    expect(formatModels(engine)).toEqual(['m  ready', 'a 2 ready', 'b 2 loading'])
    await clock.advance(35_000)
    expect(formatModels(engine)).toEqual(['m  ready', 'a 2 ready', 'b 2 ready'])
    expect(weightStore.listFetchedModels()).toEqual(['a', 'b'])
  })

  it('unloads a model and fails its generations', async () => {
    const engine = createEngine()
    const events = startGeneration(engine, 'g')
    engine.applyOrder({ fence: 1, action: 'unload', model: 'm' })
    expect(events).toEqual(['failed 0'])
    expect(formatModels(engine)).toEqual([])
  })

  it('cancels a load when the model is unloaded', async () => {
    const engine = createEngine()
    engine.applyOrder(createLoadOrder())
    engine.applyOrder(createLoadOrder({ action: 'unload' }))
    await clock.advance(5000)
    expect(formatModels(engine)).toEqual(['m  ready'])
  })

  it('fetches the weights again when a model is loaded, unloaded and loaded', async () => {
    const weightStore = WeightStoreCore.create({ clock })
    const engine = createEngine({ weightSource: weightStore })
    for (const action of ['load', 'unload', 'load'] as const) {
      engine.applyOrder(createLoadOrder({ action }))
      await clock.advance(5000)
    }
    expect(weightStore.listFetchedModels()).toEqual(['n', 'n'])
  })

  function doTest (isEnforced: boolean, expected: { accepted: boolean[], role: string, fence: number | undefined }): void {
    it(`${isEnforced ? 'rejects' : 'executes'} orders with an outdated fencing token`, () => {
      const engine = createEngine({ isFencingEnforced: isEnforced })
      const accepted = [5, 4, 5].map(fence => engine.applyOrder({ fence, action: 'role', role: `r${fence}` }).accepted)
      engine.applyOrder({ fence: 3, action: 'role', role: 'r3' })
      const { role, fence } = engine.getState()
      expect({ accepted, role, fence }).toEqual(expected)
    })
  }

  doTest(true, { accepted: [true, false, true], role: 'r5', fence: 5 })
  doTest(false, { accepted: [true, true, true], role: 'r3', fence: undefined })
})
