import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { reserveHeldEngine } from '../../src/holds/reserveHeldEngine.js'
import { type ServiceProfile } from '../../src/model/RelayConfiguration.js'
import { createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'

interface TestRequest {
  readonly name: string
  readonly priority?: number
  readonly atMs?: number
  readonly tokens?: number
  readonly maxWaitMs?: number
}

interface Outcome {
  /** Requests that got an engine, in order, with the engine and the time. */
  readonly reserved: ReadonlyArray<readonly [string, string, number]>
  readonly refused: readonly string[]
  /** Engines that were asked, in order. */
  readonly asked: readonly string[]
}

const CALL_MS = 2

const service: ServiceProfile = { ...ENGINES, engine: { ...ENGINES.engine!, maxHoldMs: 2000 } }

/** Engines of the group, others in the zone, and those of another zone. */
const ENGINES_BY_DISTANCE: ReadonlyArray<readonly [string, string]> = [['own1', 'z1'], ['own2', 'z1'], ['zone1', 'z1'], ['zone2', 'z1'], ['far1', 'z2'], ['far2', 'z2']]

/** Reserves engines for requests; an engine has capacity from the time that is given for it, for one generation. */
async function doTest (freeAtMs: Readonly<Record<string, number>>, requests: readonly TestRequest[], prepare: (dependencies: TestDependencies) => void = () => undefined): Promise<Outcome> {
  const dependencies = createTestDependencies({ isLoadPartial: () => true, pickPreferred: () => new Set(['own1', 'own2']) })
  const { clock, client, table } = dependencies
  for (const [name, availabilityZone] of ENGINES_BY_DISTANCE) table.updateTarget(createTarget(name, { service: service.name, availabilityZone }))
  prepare(dependencies)
  const taken = new Set<string>()
  client.answerHold = async ({ target }) => {
    await clock.sleep(CALL_MS)
    if (taken.has(target.name) || clock.nowMs() < (freeAtMs[target.name] ?? Infinity)) return Result.err('full')
    taken.add(target.name)
    return Result.ok(`hold-${target.name}`)
  }
  const reserved: Array<readonly [string, string, number]> = []
  const refused: string[] = []
  for (const { name, priority = 1, atMs = 0, tokens = 1000, maxWaitMs = 1000 } of requests) {
    clock.startTimer(atMs, () => {
      const admission = { requirements: { service, tokens, excludedTargets: new Set<string>() }, priority, waitStartedAtMs: atMs, maxWaitMs, signal: new AbortController().signal }
      reserveHeldEngine(dependencies, { requestId: name, admission, tokens, objectiveMs: 2000 }).then(reservation => {
        if (reservation === undefined) refused.push(name)
        else reserved.push([name, reservation.target.name, clock.nowMs()])
      })
    })
  }
  await clock.advance(5000)
  return { reserved, refused, asked: client.holdCalls.map(({ target }) => target.name) }
}

describe('reserveHeldEngine', () => {
  it('asks engines of the own group first, then others of the zone, then those of other zones', async () => {
    const { asked } = await doTest({}, [{ name: 'q', maxWaitMs: 240 }])
    expect([new Set(asked.slice(0, 2)), new Set(asked.slice(2, 4)), new Set(asked.slice(4, 6))]).toEqual([new Set(['own1', 'own2']), new Set(['zone1', 'zone2']), new Set(['far1', 'far2'])])
  })

  it('asks three engines in succession, and the next ones after the request has waited', async () => {
    const { reserved, asked } = await doTest({ far1: 0, far2: 0 }, [{ name: 'q' }])
    expect(asked.length).toBe(5)
    expect(reserved).toEqual([['q', asked.at(-1), 50 + 5 * CALL_MS]])
  })

  it('asks an engine that has no room by what is known when no other one is left, since the engine decides', async () => {
    const fill = ({ loads }: TestDependencies): void => { for (const [name] of ENGINES_BY_DISTANCE) loads.updatePeer(`p-${name}`, new Map([[name, { running: 4, tokens: 9000 }]])) }
    expect((await doTest({ own1: 0, own2: 0 }, [{ name: 'q' }], fill)).reserved.length).toBe(1)
  })

  it('asks no engine again within the time for which a refusal closes it', async () => {
    const { asked, refused } = await doTest({}, [{ name: 'q', maxWaitMs: 240 }])
    expect([asked.length, new Set(asked).size, refused]).toEqual([6, 6, ['q']])
  })

  it('gives capacity that becomes free to the more urgent request, and then to the older one', async () => {
    const requests = [{ name: 'late', priority: 2, atMs: 1 }, { name: 'old', priority: 1, atMs: 2 }, { name: 'new', priority: 1, atMs: 3 }, { name: 'urgent', priority: 0, atMs: 100 }]
    const { reserved, refused } = await doTest({ own1: 400, own2: 400, zone1: 800, zone2: 1500 }, requests)
    expect([reserved.map(([name]) => name), refused]).toEqual([['urgent', 'old', 'new'], ['late']])
  })

  it('lets a request that needs less memory ask an engine that refused a larger one', async () => {
    const large = { name: 'large', tokens: 4000, maxWaitMs: 80 }
    const alone = await doTest({}, [large, { ...large, name: 'other', atMs: 100, maxWaitMs: 1 }])
    const { asked } = await doTest({}, [large, { name: 'small', tokens: 1000, atMs: 100, maxWaitMs: 1 }])
    expect([alone.asked.length, asked.length]).toEqual([6, 7])
  })

  it('refuses a request that may not wait after three engines without capacity', async () => {
    const { asked, refused } = await doTest({}, [{ name: 'q', maxWaitMs: 0 }])
    expect([asked.length, refused]).toEqual([3, ['q']])
  })

  it('refuses a request at the end of its time to wait, also while an engine is being asked', async () => {
    const { refused, reserved } = await doTest({ own1: 0, own2: 0 }, [{ name: 'q', maxWaitMs: CALL_MS / 2 }])
    expect([refused, reserved]).toEqual([['q'], []])
  })
})
