import { createLogger, MetricsRegistry, SeededRandom, type VirtualClock } from '@fescuespoke/common'
import { type RelayInstanceOptions } from '../../src/instance/RelayInstanceOptions.js'
import { FakeTargetClient } from './FakeTargetClient.js'

/** Address at which the instance of the options is known to peers. */
export const OWN_ADDRESS = '127.0.0.1:1'

/** Creates the options of an instance that has no seeds; nothing is published unless the change says so. */
export function createInstanceOptions (clock: VirtualClock, change: Partial<RelayInstanceOptions> = {}): RelayInstanceOptions {
  return {
    identity: { availabilityZone: 'z1', region: 'r', peerAddress: OWN_ADDRESS, callerAddress: '127.0.0.1:2', seeds: [], fleet: 'f', fleetKey: 'k' },
    budget: { ratio: 0.2, extra: 1, windowMs: 1000 },
    graceMs: 1000,
    maxAddressTtlMs: 1000,
    clock,
    random: SeededRandom.create(1),
    logger: createLogger({ instance: 'test', level: 'silent' }),
    metrics: MetricsRegistry.create({ clock }),
    source: {} as RelayInstanceOptions['source'],
    decodeItem: () => { throw new Error('nothing is published') },
    client: FakeTargetClient.create(clock),
    ...change
  }
}
