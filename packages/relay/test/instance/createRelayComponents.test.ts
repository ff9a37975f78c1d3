import { VirtualClock } from '@fescuespoke/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { createRelayComponents } from '../../src/instance/createRelayComponents.js'
import { createInstanceOptions, OWN_ADDRESS } from '../support/createInstanceOptions.js'
import { createTarget, ENGINES } from '../support/createTestDependencies.js'
import { FakeTargetClient } from '../support/FakeTargetClient.js'

const service = { ...ENGINES, engine: { ...ENGINES.engine!, maxHoldMs: 2000 } }

/** Lets the only engine refuse a reservation in a fleet of some groups; returns whether reservations are needed, and why the engine is closed then. */
async function doTest (groupCount: number): Promise<unknown> {
  const clock = VirtualClock.create()
  const client = FakeTargetClient.create(clock)
  client.answerHold = async () => Result.err('full')
  const { peers, dependencies: { holds, placer, table } } = createRelayComponents(createInstanceOptions(clock, { client }))
  peers.getGroup = () => ({ instances: groupCount === 1 ? [OWN_ADDRESS] : [], index: 0, count: groupCount })
  const target = createTarget('a', { service: service.name })
  table.updateTarget(target)
  await holds.takeHold({ requestId: 'q', service, target, tokens: 10, requiredTokens: 10, objectiveMs: 2000, giveUpMs: Infinity, refusals: 0, signal: new AbortController().signal })
  return { isActive: holds.isActive(service), closure: placer.findClosure(service) }
}

describe('createRelayComponents', () => {
  it.each([[1, false], [2, true]])('lets generations take reservations in a fleet of several groups only: %i', async (groupCount, isActive) => {
    expect(await doTest(groupCount)).toEqual({ isActive, closure: { reason: 'full', waitMs: 250 } })
  })
})
