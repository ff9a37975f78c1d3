import { PeerNetwork } from '@fescuespoke/peers'
import { type Basis } from './Basis.js'
import { type TransportFactory } from './InstanceOptions.js'

/**
 * Creates the factory of the transport over TCP.
 * @param basis - What all parts of the instance share.
 */
export function createNetworkFactory ({ settings, clock, random, logger, metrics }: Basis): TransportFactory {
  const { id, peerHost, peerPort } = settings.instance
  return (findPeerAddress, incarnation) => {
    const network = PeerNetwork.create({
      ...settings.instance,
      instance: id,
      incarnation,
      clock,
      random,
      logger,
      findPeerAddress,
      host: peerHost,
      port: peerPort,
      limits: { maxFrameBytes: settings.peers.maxFrameBytes }
    })
    addTrafficMetrics(network, metrics)
    return network
  }
}

function addTrafficMetrics (network: PeerNetwork, metrics: Basis['metrics']): void {
  const sent = metrics.getCounter('controlBytes', { channel: 'peers', direction: 'out' })
  const received = metrics.getCounter('controlBytes', { channel: 'peers', direction: 'in' })
  let before = network.getCounters()
  metrics.addUpdater(() => {
    const now = network.getCounters()
    sent.add(now.bytesOut - before.bytesOut)
    received.add(now.bytesIn - before.bytesIn)
    before = now
  })
}
