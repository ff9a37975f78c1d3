import { SeededRandom, VirtualClock, type PeerTransport, type Service, type Snapshot, type Target } from '@fescuespoke/common'
import { type SchedulingSettings, type TargetState } from '@fescuespoke/schema'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createScheduler, type Placement, type PlacementRequest, type TargetScheduler } from '../src/index.js'

const TARGETS = ['t0', 't1'].map((name): Target => ({ name, url: `http://${name}`, availabilityZone: 'z', region: 'r', fencing: 'ignored' }))

const SERVICE: Service = {
  name: 's', kind: 'generation', idempotent: true, delivery: 'stream', priority: 'normal', deadlineMs: 60_000, targets: ['t0', 't1'], copies: 2, overrides: new Map()
}

const SNAPSHOT: Snapshot = {
  revision: 1, services: new Map([['s', SERVICE]]), targets: new Map(TARGETS.map(target => [target.name, target])), workspaces: new Map()
}

interface Fixture {
  readonly clock: VirtualClock
  readonly scheduler: TargetScheduler
  readonly acquire: (extra?: Partial<PlacementRequest>) => Promise<string>
  readonly placements: Placement[]
}

function createState (target: string, extra: Partial<TargetState> = {}): TargetState {
  return { target, incarnation: 'i', state: 'active', running: 0, waiting: 0, usedTokens: 0, capacityTokens: 4000, maxSequences: 4, stepMs: 20, ...extra }
}

function createFixture (settings: Partial<SchedulingSettings> = {}, states: Partial<TargetState> = {}): Fixture {
  const clock = VirtualClock.create()
  const transport: PeerTransport = { request: async () => Result.err('unreachable') as never, setHandler: () => {} }
  const alive = [{ instance: 'me', availabilityZone: 'z', region: 'r' }]
  const scheduler = createScheduler({
    instance: 'me', availabilityZone: 'z', region: 'r', clock, random: SeededRandom.create(1), transport, listAliveInstances: () => alive, settings
  })
  for (const { name } of TARGETS) scheduler.observeTargetState(name, createState(name, states), 0)
  scheduler.start()
  const placements: Placement[] = []
  let count = 0
  const acquire = async (extra: Partial<PlacementRequest> = {}): Promise<string> => {
    const request: PlacementRequest = {
      requestId: `r${count++}`,
      workspace: 'w',
      service: SERVICE,
      snapshot: SNAPSHOT,
      priority: 'normal',
      promptTokens: 100,
      maxTokens: 100,
      deadlineMs: clock.nowMs() + 60_000,
      failedTargets: [],
      signal: new AbortController().signal,
      ...extra
    }
    const result = await scheduler.acquirePlacement(request)
    return result.match({
      Ok: placement => {
        placements.push(placement)
        return placement.target.name
      },
      Err: refusal => refusal.reason
    })
  }
  return { clock, scheduler, acquire, placements }
}

async function doTest (run: (fixture: Fixture) => Promise<unknown>, settings: Partial<SchedulingSettings> = {}, states: Partial<TargetState> = {}): Promise<unknown> {
  const fixture = createFixture(settings, states)
  const result = await run(fixture)
  fixture.scheduler.stop()
  return result
}

async function fillTargets (fixture: Fixture): Promise<void> {
  for (let index = 0; index < 20; index++) fixture.acquire({ workspace: 'filler' })
  await fixture.clock.advance(500)
}

describe('TargetScheduler', () => {
  it('distributes requests over idle targets', async () => {
    expect(await doTest(async ({ acquire }) => [await acquire(), await acquire()].sort())).toEqual(['t0', 't1'])
  })

  it('explains why the target was picked', async () => {
    expect(await doTest(async ({ acquire, placements }) => {
      await acquire()
      return placements[0]?.detail
    })).toMatchInlineSnapshot('"projected: 1 of 2 targets had capacity; requests 0 of 4, memory 0+140 of 3920 tokens"')
  })

  it('does not exceed the maximum number of sequences of the targets', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      return fixture.placements.length
    })).toBe(6)
  })

  it('does not exceed the memory of the targets', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      return fixture.placements.length
    }, {}, { capacityTokens: 600, maxSequences: 64 })).toMatchInlineSnapshot('6')
  })

  it('places a queued request when another one ends', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      const before = fixture.placements.length
      fixture.placements[0]?.release('complete')
      await fixture.clock.advance(200)
      return fixture.placements.length - before
    })).toBe(1)
  })

  it('places a high-priority request immediately in the reserve', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      return ['t0', 't1'].includes(await fixture.acquire({ priority: 'high', promptTokens: 10, maxTokens: 10 }))
    })).toBe(true)
  })

  it('places no requests at a leaving target', async () => {
    expect(await doTest(async ({ scheduler, acquire, clock }) => {
      scheduler.observeTargetState('t0', createState('t0', { state: 'leaving' }), 1)
      const acquired = Promise.all([acquire(), acquire(), acquire()])
      await clock.advance(500)
      return await acquired
    })).toEqual(['t1', 't1', 't1'])
  })

  it('ignores a report that is older than the cached one', async () => {
    expect(await doTest(async ({ scheduler, acquire }) => {
      scheduler.observeTargetState('t0', createState('t0', { state: 'leaving' }), 2)
      scheduler.observeTargetState('t0', createState('t0'), 1)
      return [await acquire(), await acquire()]
    })).toEqual(['t1', 't1'])
  })

  it('refuses when all targets are leaving', async () => {
    expect(await doTest(async ({ scheduler, acquire }) => {
      for (const { name } of TARGETS) scheduler.observeTargetState(name, createState(name, { state: 'leaving' }), 1)
      return await acquire()
    })).toBe('noTarget')
  })

  it('does not use a target that failed for the request', async () => {
    expect(await doTest(async ({ acquire }) => await acquire({ failedTargets: ['t0'] }))).toBe('t1')
  })

  it('refuses retries beyond the budget', async () => {
    expect(await doTest(async ({ acquire, placements }) => {
      const reasons = new Set<string>()
      for (let index = 0; index < 14; index++) {
        reasons.add(await acquire({ requestId: 'r', failedTargets: ['t0'] }))
        placements.pop()?.release('targetFailed')
        await acquire({ failedTargets: ['t0'] })
        placements.pop()?.release('complete')
      }
      return [...reasons]
    })).toEqual(['t1', 'overloaded'])
  })

  it('refuses immediately when the answer would arrive after the deadline', async () => {
    expect(await doTest(async fixture => await fixture.acquire({ deadlineMs: 150 }))).toBe('deadlineExceeded')
  })

  it('does not refuse a short deadline without output length samples', async () => {
    expect(await doTest(async ({ acquire }) => ['t0', 't1'].includes(await acquire({ deadlineMs: 2000, maxTokens: undefined })))).toBe(true)
  })

  it('refuses a deadline that is too short for the recorded output lengths', async () => {
    expect(await doTest(async fixture => {
      for (let index = 0; index < 50; index++) {
        const acquired = fixture.acquire()
        await fixture.clock.advance(200)
        await acquired
        fixture.placements[0]?.observeTokens(400)
        fixture.placements.shift()?.release('complete')
      }
      return await fixture.acquire({ deadlineMs: fixture.clock.nowMs() + 2000, maxTokens: 1000 })
    })).toBe('deadlineExceeded')
  })

  it('refuses a queued request when it can no longer succeed', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      const refused = fixture.acquire({ deadlineMs: fixture.clock.nowMs() + 10_000 })
      await fixture.clock.advance(4000)
      return await refused
    })).toBe('overloaded')
  })

  it('refuses the last request in the queue when it is full', async () => {
    expect(await doTest(async fixture => {
      for (let round = 0; round < 4; round++) await fillTargets(fixture)
      const reasons: string[] = []
      for (let index = 0; index < 2; index++) fixture.acquire({ workspace: 'filler' }).then(reason => reasons.push(reason))
      await fixture.clock.advance(10)
      return reasons
    }, { maxQueued: 3 })).toEqual(['queueFull', 'queueFull'])
  })

  it('does not refuse a lightly loaded workspace because of the backlog of another', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      const lightlyLoaded = fixture.acquire({ workspace: 'quiet' })
      for (let index = 0; index < 2; index++) fixture.placements[index]?.release('complete')
      await fixture.clock.advance(300)
      return ['t0', 't1'].includes(await lightlyLoaded)
    }, { maxQueued: 14 })).toBe(true)
  })

  it('ends the wait of a cancelled request', async () => {
    expect(await doTest(async fixture => {
      await fillTargets(fixture)
      const controller = new AbortController()
      const waiting = fixture.acquire({ signal: controller.signal })
      controller.abort()
      return await waiting
    })).toBe('cancelledByCaller')
  })

  it('prefers the target that has cached the prefix', async () => {
    expect(await doTest(async ({ scheduler, acquire }) => {
      scheduler.observeCacheEvents('t1', [{ sequence: 1, event: 'stored', prefix: 'p' }])
      return await acquire({ prefix: 'p' })
    })).toBe('t1')
  })

  it('ignores repeated releases of a placement', async () => {
    expect(await doTest(async ({ acquire, placements, scheduler }) => {
      await acquire()
      placements[0]?.release('complete')
      placements[0]?.release('complete')
      return scheduler.listTargetStatus().map(({ running }) => running)
    })).toEqual([0, 0])
  })

  it('works under a baseline policy', async () => {
    expect(await doTest(async ({ acquire }) => [await acquire(), await acquire()].sort(), { policy: 'leastInFlight' })).toEqual(['t0', 't1'])
  })
})
