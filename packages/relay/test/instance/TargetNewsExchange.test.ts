import { VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { InstanceCensus, SETTLE_MS } from '../../src/instance/InstanceCensus.js'
import { type TargetNews, TargetNewsExchange } from '../../src/instance/TargetNewsExchange.js'
import { createTarget, createTestDependencies, type TestDependencies } from '../support/createTestDependencies.js'

interface NewsInstance {
  readonly dependencies: TestDependencies
  readonly census: InstanceCensus
  readonly exchange: TargetNewsExchange
}

function createInstance (clock: VirtualClock, name: string, perSecond: number): NewsInstance {
  const dependencies = createTestDependencies({ clock })
  const { limits, coldTargets, evidence, notices } = dependencies
  coldTargets.setServices(new Map([['calls', { name: 'calls', coldRequestsPerSecond: perSecond }]]))
  const census = InstanceCensus.create({ clock, instance: name, listSeeds: () => [] })
  return { dependencies, census, exchange: TargetNewsExchange.create({ limits, coldTargets, getCensus: () => census, crashes: evidence, getNotices: () => notices }) }
}

/** Lets an instance that has lost a peer and had an answer of a cold target tell another one of it. */
function doTest (perSecond: number): { news: TargetNews, possible: number, isCold: boolean } {
  const clock = VirtualClock.create()
  const [sender, receiver] = [createInstance(clock, 'a', perSecond), createInstance(clock, 'b', perSecond)]
  const target = createTarget('t')
  for (const name of ['b', 'c']) sender.census.recordInstance(name, 'present')
  receiver.census.recordInstance('a', 'present')
  clock.jump(SETTLE_MS)
  sender.census.recordInstance('c', 'lost')
  sender.dependencies.client.notifyNotices(target, [{ kind: 'cold', remainingMs: 5000 }])
  const news = sender.exchange.createNews()
  receiver.exchange.handleNews('a', news)
  return { news, possible: receiver.census.getFleet('t').possible, isCold: receiver.dependencies.coldTargets.isCold(target) }
}

describe('TargetNewsExchange', () => {
  it('tells peers of cold targets and of instances that may be running out of reach', () => {
    expect(doTest(31)).toEqual({ news: { coldTargets: [{ target: 't', startedAtMs: 1, remainingMs: 5000 }], possibleInstances: 3 }, possible: 3, isCold: true })
  })

  it('tells nothing of them where no service has a rate for cold targets, since earlier releases do not know the fields', () => {
    expect(doTest(0)).toEqual({ news: {}, possible: 2, isCold: false })
  })
})
