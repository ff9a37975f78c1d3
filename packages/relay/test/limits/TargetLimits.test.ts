import { createLogger, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { TargetLimits } from '../../src/limits/TargetLimits.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { createTarget } from '../support/createTestDependencies.js'

interface Options {
  readonly instances?: number
  readonly rank?: number
}

const TARGET = createTarget('a')

function createLimits (clock: VirtualClock, { instances = 1, rank = 0 }: Options = {}): TargetLimits {
  const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
  return TargetLimits.create({ clock, log, countInstances: () => instances, getRank: () => rank })
}

/** Applies changes to the limits of one instance, and returns the time until it may send to the target. */
function doTest (act: (limits: TargetLimits, clock: VirtualClock) => void, options?: Options): number {
  const clock = VirtualClock.create()
  clock.jump(1000)
  const limits = createLimits(clock, options)
  act(limits, clock)
  return limits.getWaitMs(TARGET)
}

describe('TargetLimits', () => {
  it('do not restrict a target that names none', () => expect(doTest(limits => limits.recordAnswer(TARGET, 'none', 990))).toBe(0))
  it('allow a request in the first turn', () => expect(doTest(limits => limits.recordAnswer(TARGET, 2, 990))).toBe(0))

  it('allow one request in a turn', () => {
    expect(doTest(limits => { limits.recordAnswer(TARGET, 2, 990); limits.recordRequest(TARGET) }, { instances: 3 })).toBe(1500)
  })

  it('allow the first request of another instance in its turn', () => expect(doTest(limits => limits.recordAnswer(TARGET, 2, 990), { instances: 3, rank: 2 })).toBe(1000))

  it('keep no turns that were not used for a long time', () => {
    expect(doTest((limits, clock) => { limits.recordAnswer(TARGET, 2, 990); clock.jump(59_900); limits.recordRequest(TARGET) }, { instances: 100 })).toBeGreaterThan(40_000)
  })

  it('let a request outside a turn use up the next one', () => {
    expect(doTest(limits => { limits.recordAnswer(TARGET, 2, 990); for (let count = 0; count < 3; count++) limits.recordRequest(TARGET) })).toBe(1500)
  })

  it('allow none while it is not known how many instances share the limit', () => expect(doTest(limits => limits.recordAnswer(TARGET, 2, 990), { instances: Infinity })).toBe(Infinity))

  it('end with an answer to a later request that names none', () => {
    expect(doTest((limits, clock) => { limits.recordAnswer(TARGET, 2, 990); limits.recordRequest(TARGET); clock.jump(10); limits.recordAnswer(TARGET, 'none', 1005) })).toBe(0)
  })

  it('hold although an answer to an earlier request names none', () => {
    expect(doTest((limits, clock) => { limits.recordAnswer(TARGET, 2, 990); limits.recordRequest(TARGET); clock.jump(10); limits.recordAnswer(TARGET, 'none', 995) })).toBe(490)
  })

  it('hold after an answer that does not tell', () => expect(doTest(limits => { limits.recordAnswer(TARGET, 2, 990); limits.recordRequest(TARGET); limits.recordAnswer(TARGET, undefined, 1005) })).toBe(500))

  it('change with the answers', () => {
    expect(doTest((limits, clock) => { limits.recordAnswer(TARGET, 2, 990); limits.recordRequest(TARGET); clock.jump(100); limits.recordAnswer(TARGET, 10, 1005) })).toBeCloseTo(80)
  })

  it('allow no more requests when each answer names another value', () => {
    let sent = 0
    doTest((limits, clock) => {
      for (let count = 0; count < 400; count++) {
        limits.recordAnswer(TARGET, 2 + count % 3, clock.nowMs())
        clock.jump(10)
        if (limits.getWaitMs(TARGET) > 0) continue
        limits.recordRequest(TARGET)
        sent++
      }
    })
    expect(sent).toBe(4 * 3)
  })

  it('allow no more requests when the limit ends and begins again', () => {
    expect(doTest((limits, clock) => {
      limits.recordAnswer(TARGET, 2, 990)
      limits.recordRequest(TARGET)
      clock.jump(10)
      limits.recordAnswer(TARGET, 'none', 1005)
      limits.recordAnswer(TARGET, 2, 1005)
    })).toBeCloseTo(490)
  })

  it('do not hold for another incarnation of the target', () => expect(doTest(limits => limits.recordAnswer(createTarget('a', { startedAtMs: 0 }), 2, 990), { rank: 1, instances: 2 })).toBe(0))

  it('leave a target that names 0 a request now and then, which tells when the limit ends', () => {
    expect(doTest(limits => { limits.recordAnswer(TARGET, 0, 990); limits.recordRequest(TARGET) })).toBe(4000)
  })
})

describe('TargetLimits of two instances', () => {
  /** Lets an instance learn of a limit and report it to another one after further changes; returns the wait of the latter, in milliseconds. */
  function doTest (act: (limits: TargetLimits, peerLimits: TargetLimits, clock: VirtualClock) => void): number {
    const clock = VirtualClock.create()
    clock.jump(1000)
    const [limits, peerLimits] = [createLimits(clock, { instances: 2, rank: 0 }), createLimits(clock, { instances: 2, rank: 1 })]
    limits.recordAnswer(TARGET, 1, 990)
    act(limits, peerLimits, clock)
    peerLimits.mergeNews('a', limits.listNews())
    return Math.round(peerLimits.getWaitMs(TARGET))
  }

  it('have the same turns, in their order', () => expect([0, 200, 900].map(reportAfterMs => doTest((_limits, _peer, clock) => clock.jump(reportAfterMs)))).toEqual([1000, 800, 100]))

  it('use the turns of the instance that is ahead', () => {
    expect(doTest((_limits, peer, clock) => { clock.jump(100); peer.recordAnswer(TARGET, 1, 1090); clock.jump(200) })).toBe(700)
  })

  it('keep what an answer told later', () => expect(doTest((_limits, peer, clock) => { clock.jump(10); peer.recordAnswer(TARGET, 5, 1005) })).toBe(198))

  it('learn of the end of a limit', () => {
    expect(doTest((limits, peer, clock) => { peer.recordAnswer(TARGET, 1, 990); clock.jump(50); limits.recordAnswer(TARGET, 'none', 1030) })).toBe(0)
  })

  it('ignore the end of a limit that was named later', () => {
    expect(doTest((limits, peer, clock) => { limits.recordAnswer(TARGET, 'none', 1010); clock.jump(20); peer.recordAnswer(TARGET, 1, 1015) })).toBeGreaterThan(0)
  })

  it('report all limits in turn when there are many', () => {
    const clock = VirtualClock.create()
    const limits = createLimits(clock)
    for (let index = 0; index < 40; index++) limits.recordAnswer(createTarget(`t${index}`), 1, 0)
    const reported = new Set([limits.listNews(), limits.listNews(), limits.listNews()].flat().map(({ target }) => target))
    expect([limits.listNews().length, reported.size]).toEqual([16, 40])
  })

  it('forget limits that no answer confirmed for a long time', () => {
    const clock = VirtualClock.create()
    const limits = createLimits(clock)
    limits.recordAnswer(TARGET, 1, 0)
    clock.jump(700_000)
    expect(limits.listNews()).toEqual([])
  })
})
