import { PauseDetector } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { type AdmissionRequest } from '../../src/placement/AdmissionQueue.js'
import { type TargetReservation } from '../../src/placement/TargetReservation.js'
import { createTarget, createTestDependencies, ENGINES, type TestDependencies } from '../support/createTestDependencies.js'

/** Memory of one request, of which exactly one fits into the engine beside what is reserved at the start. */
const TOKENS = 2000

interface TestQueue {
  readonly dependencies: TestDependencies
  /** Names of requests in the order in which they were placed and refused, with the times of refusals in milliseconds. */
  readonly placed: string[]
  readonly refused: string[]
  /** Asks for the engine; a request that gets it has it for 200 ms, or releases it at once if that was in vain. */
  readonly ask: (name: string, change?: Partial<AdmissionRequest> & { readonly isVain?: boolean, readonly tokens?: number }) => AdmissionRequest
}

/** Starts one engine that has room for one request at a time. */
function createQueue (isLoadPartial = true, instanceCount = 1): TestQueue {
  const dependencies = createTestDependencies({ isLoadPartial: () => isLoadPartial, instanceCount })
  const { clock, table, placer, admissionQueue } = dependencies
  const engine = createTarget('a', { service: ENGINES.name })
  table.updateTarget(engine)
  placer.reserveTarget(engine, 9200 - TOKENS)
  const placed: string[] = []
  const refused: string[] = []
  const finish = (name: string, isVain: boolean, reservation: TargetReservation | undefined): void => {
    if (reservation === undefined) refused.push(`${name} ${Math.round(clock.nowMs())}`)
    else placed.push(name)
    if (isVain) reservation?.release()
    else clock.startTimer(200, () => reservation?.release())
  }
  return {
    dependencies,
    placed,
    refused,
    ask: (name, { isVain = false, tokens = TOKENS, ...change } = {}) => {
      const nowMs = clock.nowMs()
      const requirements = { service: ENGINES, tokens, excludedTargets: new Set<string>() }
      const request = { requirements, priority: 1, workspace: name[0], arrivedAtMs: nowMs, waitStartedAtMs: nowMs, maxWaitMs: 2000, signal: new AbortController().signal, ...change }
      admissionQueue.waitForTarget(request).then(reservation => finish(name, isVain, reservation))
      return request
    }
  }
}

/** Keeps requests waiting until the rate of the engine is known: one request of 2000 tokens in 200 ms. */
async function measureRate ({ ask, dependencies: { clock }, placed, refused }: TestQueue): Promise<void> {
  ask('m')
  for (let count = 0; count < 30; count++) {
    ask(`m${count}`)
    await clock.advance(200)
  }
  placed.length = 0
  refused.length = 0
}

describe('AdmissionQueue while loads are known in part', () => {
  it('alternates between workspaces, so that one with many requests does not crowd out another', async () => {
    const { ask, dependencies: { clock }, placed } = createQueue()
    for (const name of ['a0', 'a1', 'a2', 'a3', 'b1']) ask(name)
    await clock.advance(2000)
    expect(placed).toEqual(['a0', 'a1', 'b1', 'a2', 'a3'])
  })

  it('admits urgent requests first, and the oldest of a workspace', async () => {
    const { ask, dependencies: { clock }, placed } = createQueue()
    for (const name of ['a0', 'a1']) ask(name)
    ask('a2', { arrivedAtMs: -5 })
    ask('c1', { priority: 0 })
    await clock.advance(2000)
    expect(placed).toEqual(['a0', 'c1', 'a2', 'a1'])
  })

  it('does not let small requests starve a large one of the same targets', async () => {
    const { ask, dependencies: { clock }, placed } = createQueue()
    ask('a0', { tokens: 1000 })
    await clock.advance(100)
    ask('b1', { tokens: 2000 })
    for (const name of ['c1', 'c2', 'c3']) ask(name, { tokens: 500 })
    await clock.advance(2000)
    expect(placed[1]).toBe('b1')
  })

  it('refuses a request at once that cannot begin in time, and admits one that can', async () => {
    const queue = createQueue()
    await measureRate(queue)
    const { ask, dependencies: { clock }, refused } = queue
    const startMs = clock.nowMs()
    for (let count = 0; count < 4; count++) ask(`w${count}`)
    ask('w-late', { maxWaitMs: 300 })
    ask('w-soon', { maxWaitMs: 1500 })
    await clock.advance(0)
    expect(refused).toEqual([`w-late ${startMs}`])
  })

  it('tells refused callers times at which they find capacity, one after the other', async () => {
    const queue = createQueue()
    await measureRate(queue)
    const { ask, dependencies: { clock, admissionQueue }, placed, refused } = queue
    for (let count = 0; count < 12; count++) ask(`w${count}`, { maxWaitMs: 1000 })
    await clock.advance(0)
    const names = refused.map(text => text.split(' ')[0]!)
    refused.length = 0
    expect(names.length).toBeGreaterThan(3)
    const times = names.map(name => {
      const retryAfterMs = admissionQueue.scheduleReturn(ask(name, { maxWaitMs: 0 }), 60_000)?.retryAfterMs ?? 0
      clock.startTimer(retryAfterMs, () => { ask(name, { maxWaitMs: 1000 }) })
      return retryAfterMs
    })
    await clock.advance(0)
    refused.length = 0
    await clock.advance(10_000)
    expect(times.slice(1).every((timeMs, index) => timeMs - times[index]! >= 190)).toBe(true)
    expect(refused.filter(text => names.includes(text.split(' ')[0]!))).toEqual([])
    expect(names.every(name => placed.includes(name))).toBe(true)
  })

  it('lets a caller that returns as told go before a new one of its workspace', async () => {
    const queue = createQueue()
    await measureRate(queue)
    const { ask, dependencies: { clock, admissionQueue }, placed } = queue
    const retryAfterMs = admissionQueue.scheduleReturn(ask('w-first', { maxWaitMs: 0 }), 60_000)?.retryAfterMs ?? 0
    await clock.advance(retryAfterMs - 10)
    for (const name of ['w-busy', 'w-new']) ask(name, { cost: TOKENS + 1 })
    await clock.advance(10)
    ask('w-first')
    await clock.advance(2000)
    expect(placed.indexOf('w-first')).toBeLessThan(placed.indexOf('w-new'))
  })

  it('does not charge a workspace for a request that was placed in vain and asks again', async () => {
    const { ask, dependencies: { clock }, placed } = createQueue()
    ask('z0')
    const vain = ask('a1', { isVain: true })
    await clock.advance(201)
    ask('z1')
    ask('b1')
    ask('a1', { signal: vain.signal, arrivedAtMs: vain.arrivedAtMs })
    await clock.advance(2000)
    expect(placed).toEqual(['z0', 'a1', 'z1', 'a1', 'b1'])
  })

  it('leaves room for urgent requests that came before, until these stay away', async () => {
    const { ask, dependencies: { clock }, placed } = createQueue(true, 8)
    for (let count = 0; count < 20; count++) {
      ask(`u${count}`, { priority: 0, tokens: 1000 })
      await clock.advance(250)
      ask(`u${count}b`, { priority: 0, tokens: 1000 })
      await clock.advance(250)
    }
    placed.length = 0
    ask('l1', { priority: 2, maxWaitMs: 20_000 })
    await clock.advance(3000)
    const whileUrgent = [...placed]
    await clock.advance(12_000)
    expect([whileUrgent, placed]).toEqual([[], ['l1']])
  })

  it('drops its estimates after a pause of the process, and ends the waits that are over', async () => {
    const queue = createQueue()
    await measureRate(queue)
    const { ask, refused, dependencies: { admissionQueue, clock } } = queue
    const detector = PauseDetector.create({ clock, onPause: () => undefined })
    detector.addListener(() => admissionQueue.dropEstimates())
    for (let count = 0; count < 4; count++) ask(`w${count}`)
    const request = ask('w-none', { maxWaitMs: 0 })
    const beforeMs = admissionQueue.estimateWaitMs(request)
    clock.jump(5000)
    expect(detector.isRecovering()).toBe(true)
    expect([beforeMs > 0, admissionQueue.estimateWaitMs(request), admissionQueue.scheduleReturn(request, 60_000)]).toEqual([true, 0, undefined])
    await clock.advance(100)
    expect(admissionQueue.countWaiting()).toBe(0)
    expect(refused.length).toBeGreaterThan(1)
  })

  it('is not used where all loads are known', async () => {
    const queue = createQueue(false)
    await measureRate(queue)
    const { ask, dependencies: { admissionQueue } } = queue
    const request = ask('x1', { maxWaitMs: 0 })
    expect([admissionQueue.estimateWaitMs(request), admissionQueue.scheduleReturn(request, 60_000)]).toEqual([0, undefined])
  })
})
