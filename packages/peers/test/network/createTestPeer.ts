import { type Clock, SeededRandom, SystemClock } from '@fescuespoke/common'
import { Maybe } from 'true-myth'
import { PeerNetwork, type PeerNetworkOptions } from '../../src/index.js'

/** Addresses of the peers of one test by instance name. */
export type Addresses = Map<string, string>

/**
 * Creates a listening network that looks up its peers in a map and adds itself to it.
 * @param addresses - Addresses of the peers of the test.
 * @param instance - Name of the new peer.
 * @param options - Overrides of the default options.
 */
export async function createTestPeer (addresses: Addresses, instance: string, options: Partial<PeerNetworkOptions> = {}): Promise<PeerNetwork> {
  const clock: Clock = SystemClock.create()
  const network = PeerNetwork.create({
    clock,
    random: SeededRandom.create(instance.length),
    fleet: 'fleet',
    fleetKey: 'key of the tests',
    instance,
    incarnation: `${instance}-1`,
    availabilityZone: 'az1',
    region: 'r1',
    findPeerAddress: name => Maybe.of(addresses.get(name)),
    ...options
  })
  const address = await network.listen()
  if (address.isOk) addresses.set(instance, address.value)
  network.setHandler('lengthsRequest', () => ({ type: 'lengthsAnswer', histograms: { from: instance } }))
  return network
}
