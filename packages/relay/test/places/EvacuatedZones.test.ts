import { createLogger, VirtualClock } from '@fescuespoke/common'
import { describe, expect, it } from 'vitest'
import { DecisionLog } from '../../src/logs/DecisionLog.js'
import { EvacuatedZones } from '../../src/places/EvacuatedZones.js'
import { createTarget } from '../support/createTestDependencies.js'

/** Applies changes of zones, and returns the times until targets in zones z1 and z2 may get requests. */
function doTest (changes: ReadonlyArray<readonly [string, boolean]>): number[] {
  const zones = EvacuatedZones.create({ log: DecisionLog.create({ logger: createLogger({ instance: 'test', level: 'silent' }), clock: VirtualClock.create() }) })
  for (const [zone, isActive] of changes) zones.setZone(zone, isActive)
  return ['z1', 'z2'].map(availabilityZone => zones.getWaitMs(createTarget('a', { availabilityZone })))
}

describe('EvacuatedZones', () => {
  it('close no target without a request', () => expect(doTest([])).toEqual([0, 0]))
  it('close the targets of one zone', () => expect(doTest([['z1', true]])).toEqual([Infinity, 0]))
  it('open the targets when the request is withdrawn', () => expect(doTest([['z1', true], ['z2', true], ['z1', false]])).toEqual([0, Infinity]))
  it('ignore the withdrawal of a request that was never made', () => expect(doTest([['z1', false]])).toEqual([0, 0]))
})
