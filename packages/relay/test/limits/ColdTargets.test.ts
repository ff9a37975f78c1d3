import { createLogger, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { ColdTargets } from '../../src/limits/ColdTargets.js'
import { type ColdFleet } from '../../src/limits/computeColdInterval.js'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { createTarget } from '../support/createTestDependencies.js'

type Act = (cold: ColdTargets, clock: VirtualClock) => void

const TARGET = createTarget('a', { sequence: 1 })
const COLD_ENTRY = createTarget('a', { sequence: 1, slowStartRemainingMs: 10_000 })

function createColdTargets (clock: VirtualClock, fleet: Partial<ColdFleet> = {}, perSecond = 2): ColdTargets {
  const log = DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock })
  const cold = ColdTargets.create({ clock, log, getFleet: () => ({ alive: 1, possible: 1, rank: 0, ...fleet }) })
  cold.setServices(new Map([['calls', { name: 'calls', coldRequestsPerSecond: perSecond }]]))
  return cold
}

/** Applies what an instance learns, and returns the time until it may send to the target, in milliseconds. */
function doTest (act: Act, fleet?: Partial<ColdFleet>, perSecond?: number): number {
  const clock = VirtualClock.create()
  clock.jump(1000)
  const cold = createColdTargets(clock, fleet, perSecond)
  act(cold, clock)
  return Math.round(cold.getWaitMs(TARGET))
}

const use: Act = cold => cold.recordRequest(TARGET)

describe('ColdTargets', () => {
  it('do not bound a target that is not cold', () => expect(doTest((cold, clock) => { cold.recordEntry(TARGET); use(cold, clock) })).toBe(0))
  it('allow the first request to a cold target', () => expect(doTest(cold => cold.recordEntry(COLD_ENTRY))).toBe(0))
  it('let an instance wait for its next turn', () => expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); use(cold, clock); clock.jump(100) })).toBe(400))
  it('let a request outside a turn use up the next one', () => expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); use(cold, clock); use(cold, clock) })).toBe(1000))
  it('end when the target is warm', () => expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); clock.jump(9900); use(cold, clock) })).toBe(100))
  it('do not bound the targets of a service without a rate', () => expect(doTest((cold, clock) => { cold.setServices(new Map()); cold.recordEntry(COLD_ENTRY); use(cold, clock) })).toBe(0))
  it('close a target while the number of instances is not known, until it is warm', () => expect(doTest(cold => cold.recordEntry(COLD_ENTRY), { possible: Infinity })).toBe(10_000))
  it('close a target that is left to other instances, until it is warm', () => expect(doTest(cold => cold.recordEntry(COLD_ENTRY), { possible: 58, rank: 8 })).toBe(10_000))

  it('see from an entry that a target is cold again', () => {
    expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); clock.jump(20_000); cold.recordEntry({ ...COLD_ENTRY, sequence: 2 }); use(cold, clock) })).toBe(500)
  })

  it('see from an answer that a target is cold again', () => {
    expect(doTest((cold, clock) => { cold.recordEntry(TARGET); cold.recordAnswer(TARGET, 300); use(cold, clock) })).toBe(300)
  })

  it('keep the later end whatever an older answer states', () => expect(doTest((cold, clock) => { cold.recordAnswer(TARGET, 5000); cold.recordAnswer(TARGET, 10); clock.jump(100); use(cold, clock) })).toBe(500))

  it('keep the cold time of a later incarnation that was reported before its own entry', () => {
    const restarted = { ...TARGET, startedAtMs: 2 }
    expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); cold.recordAnswer(restarted, 20_000); cold.recordEntry({ ...restarted, slowStartRemainingMs: 1000 }); clock.jump(12_000); use(cold, clock) })).toBe(500)
  })

  it('ignore an entry that the store lists again', () => {
    expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); clock.jump(10_000); cold.recordEntry(COLD_ENTRY); use(cold, clock) })).toBe(0)
  })

  it('forget the cold time of an earlier incarnation, but not its last turn', () => {
    const restarted = { ...TARGET, startedAtMs: 2 }
    expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); use(cold, clock); cold.recordEntry(restarted) })).toBe(0)
    expect(doTest((cold, clock) => { cold.recordEntry(COLD_ENTRY); use(cold, clock); cold.recordEntry({ ...restarted, slowStartRemainingMs: 9000 }) })).toBe(500)
  })
})

describe('ColdTargets of two instances', () => {
  /** Lets an instance report what it knows to another one, and returns the time until the latter may send a second request, in milliseconds. */
  function doTest (learn: Act): number {
    const clock = VirtualClock.create()
    clock.jump(1000)
    const [cold, peer] = [createColdTargets(clock), createColdTargets(clock)]
    learn(cold, clock)
    peer.mergeNews('a', cold.listNews())
    peer.recordRequest(TARGET)
    return Math.round(peer.getWaitMs(TARGET))
  }

  it('learn of targets that became cold again', () => expect(doTest(cold => cold.recordAnswer(TARGET, 5000))).toBe(500))
  it('do not report what the entry states', () => expect(doTest(cold => cold.recordEntry(COLD_ENTRY))).toBe(0))

  it('do not extend the time by echoing each other', () => {
    const clock = VirtualClock.create()
    const [cold, peer] = [createColdTargets(clock), createColdTargets(clock)]
    cold.recordAnswer(TARGET, 5000)
    for (let atMs = 0; atMs < 5000; atMs += 500) {
      const [news, peerNews] = [cold.listNews(), peer.listNews()]
      clock.jump(100)
      peer.mergeNews('a', news)
      cold.mergeNews('b', peerNews)
      clock.jump(400)
    }
    clock.jump(100)
    expect([cold, peer].map(each => each.isCold(TARGET))).toEqual([false, false])
  })
})
